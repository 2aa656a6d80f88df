package peer

import (
	"testing"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/control"
)

// FuzzUnmarshal guards against messages of an unknown peer that end the process:
// each job that passes the check of the server is taken in by a shard.
func FuzzUnmarshal(f *testing.F) {
	for _, r := range []control.Request{
		{Kind: control.KindProbe},
		{Kind: control.KindSubmit, Job: "00000000000000aa", Spec: &dispatch.Spec{ID: "00000000000000aa", Steps: []dispatch.Step{{Count: 2}, {Count: 1, After: []int{0}}}}},
	} {
		b, err := codec{}.Marshal(&r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		var r control.Request
		if (codec{}).Unmarshal(message, &r) != nil || r.Spec == nil || r.Spec.Check() != nil {
			return
		}
		shard := dispatch.Shard{Limits: dispatch.DefaultLimits}
		if err := shard.Submit(0, 0, r.Spec); err != nil {
			t.Error(err)
		}
		shard.Tick(0, unit.UnixMillis(0), true)
	})
}
