package control

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// TestShardIsServedOncePerGeneration guards against two ownerships of a shard
// under one epoch. In a store outage memberships don't expire, so a member can
// release a shard and be assigned it again in the same generation. Its earlier
// appends and orders would not be fenced.
func TestShardIsServedOncePerGeneration(t *testing.T) {
	for name, c := range map[string]struct {
		last   unit.Generation // epoch of the previous ownership
		rejoin bool
	}{
		"same generation": {7, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			control := &Control{Clock: new(clock.Manual), Counters: new(Counters), owned: make(map[unit.Shard]*ownedShard), epochs: map[unit.Shard]unit.Generation{0: c.last}}
			control.layout.Store(&dispatch.Layout{Shards: 1})
			done := make(chan joinOutcome, 1)
			control.handleJoined(joinedMessage{generation: 7, shards: []unit.Shard{0}, outcome: done})
			is.Equal((<-done).rejoin, c.rejoin)
			is.Equal(len(control.owned), 0)
		})
	}
}
