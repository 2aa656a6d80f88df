package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/maintenance"
	"mimosadock/schedule/unit"
)

// shardReplies is a [ShardRouter] with a fixed reply for each shard.
type shardReplies map[unit.Shard]Reply

// Call implements [ShardRouter].
func (r shardReplies) Call(_ context.Context, request *Request) Reply { return r[request.Shard] }

// TestEvacuationOfALentExecutor guards against maintenance that shuts down an
// executor with runs, because its home shard has lent it and knows of no run.
func TestEvacuationOfALentExecutor(t *testing.T) {
	for name, c := range map[string]struct {
		replies shardReplies
		want    maintenance.EvacuationStatus
		fails   bool
	}{
		"not lent":             {replies: shardReplies{0: {Status: StatusAccepted, Count: 2, Held: 1}}, want: maintenance.EvacuationStatus{Remaining: 2, Blocking: 1}},
		"lent":                 {replies: shardReplies{0: {Status: StatusLent, Borrower: 1}, 1: {Status: StatusAccepted, Count: 3}}, want: maintenance.EvacuationStatus{Remaining: 3}},
		"not used yet":         {replies: shardReplies{0: {Status: StatusLent, Borrower: 1}, 1: {Status: StatusNotFound}}, fails: true},
		"borrower not reached": {replies: shardReplies{0: {Status: StatusLent, Borrower: 1}, 1: {Status: StatusRefused, Reason: "no owner"}}, fails: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			control := &Control{Router: c.replies}
			control.layout.Store(&dispatch.Layout{Shards: 1})
			got, err := control.evacuate(context.Background(), "x")
			is.Equal(err != nil, c.fails)
			is.Equal(got, c.want)
		})
	}
}
