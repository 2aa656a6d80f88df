package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// Guards against a replaced owner that answers for jobs which only its successor
// knows: an accepted job was shown as unknown (lmhtw-kiln, hunt-94c7-43, an
// owner cut off from the store).
func TestAnswersOfAReplacedOwner(t *testing.T) {
	const known, unknown unit.Job = "00000000000000aa", "00000000000000bb"
	for name, c := range map[string]struct {
		age  clock.Span // of the confirmation of the membership
		ask  Ask
		want Status
	}{
		"confirmed, known":     {100, Ask{Kind: State, Job: known}, Accepted},
		"confirmed, unknown":   {100, Ask{Kind: State, Job: unknown}, Unknown},
		"replaced, known":      {1300, Ask{Kind: State, Job: known}, Accepted},
		"replaced, unknown":    {1300, Ask{Kind: State, Job: unknown}, NotOwner},
		"replaced, cancel":     {1300, Ask{Kind: Cancel, Job: unknown}, NotOwner},
		"replaced, count":      {1300, Ask{Kind: Pending}, NotOwner},
		"replaced, probe":      {1300, Ask{Kind: Probe}, NotOwner},
		"replaced, submission": {1300, Ask{Kind: Submit, Job: unknown, Spec: new(dispatch.Spec)}, NotOwner},
		"replaced, evacuation": {1300, Ask{Kind: Evacuate, Executor: "x"}, NotOwner},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			boot := clock.Millis(50_000)
			control := &Control{
				Settings: Settings{TTL: 1200}, Clock: new(clock.Manual), Boot: func() clock.Millis { return boot }, Counters: new(Counters),
				tenures: make(map[unit.Shard]*tenure),
			}
			control.members.fresher.Store(int64(boot.Add(-c.age)))
			shard := &dispatch.Shard{Limits: dispatch.DefaultLimits}
			is.NoErr(shard.Submit(0, 0, &dispatch.Spec{ID: known, Steps: []dispatch.Step{{Count: 1}}}))
			shard.Turn(0, 0, true)
			shard.Stored(0)
			control.tenures[0] = &tenure{shard: shard, serving: true, ctx: context.Background()}
			reply := make(chan Reply, 1)
			control.answer(askMessage{&c.ask, reply})
			is.Equal(len(reply), 1) // answered at once, not after an append
			is.Equal((<-reply).Status, c.want)
		})
	}
}
