package control

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// Guards against two tenures with one epoch: an outage of the store in which
// memberships don't expire lets a member give a shard up and be dealt it again
// in the same generation. Its former appends and orders would not be fenced.
func TestShardIsServedOncePerGeneration(t *testing.T) {
	for name, c := range map[string]struct {
		last   unit.Generation // epoch of the former tenure
		rejoin bool
	}{
		"same generation": {7, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			control := &Control{Clock: new(clock.Manual), Counters: new(Counters), tenures: make(map[unit.Shard]*tenure), epochs: map[unit.Shard]unit.Generation{0: c.last}}
			control.layout.Store(&dispatch.Layout{Shards: 1})
			done := make(chan joinOutcome, 1)
			control.joined(joinedMessage{generation: 7, shards: []unit.Shard{0}, done: done})
			is.Equal((<-done).rejoin, c.rejoin)
			is.Equal(len(control.tenures), 0)
		})
	}
}
