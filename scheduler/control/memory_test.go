package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// TestSubmissionsBeyondTheMemory guards against jobs that exceed the memory of the
// process together, over all its shards, against the refusal of a job that was
// accepted, and against a message of an unknown peer that ends the process.
func TestSubmissionsBeyondTheMemory(t *testing.T) {
	const known, other unit.Job = "00000000000000aa", "00000000000000bb"
	job := func(id unit.Job, tasks int) *dispatch.Spec {
		return &dispatch.Spec{ID: id, Steps: []dispatch.Step{{Count: tasks}}}
	}
	bound := job(known, 100).JobBytes() + job(other, 50).JobBytes()
	for name, c := range map[string]struct {
		request Request
		refused bool
	}{
		"room":                 {request: Request{Job: other, Spec: job(other, 50)}},
		"no room":              {request: Request{Job: other, Spec: job(other, 51)}, refused: true},
		"known without room":   {request: Request{Job: known, Spec: job(known, 1000)}},
		"no job":               {request: Request{Job: other}, refused: true},
		"known without a spec": {request: Request{Job: known}, refused: true},
		"another job":          {request: Request{Job: other, Spec: job(known, 50)}, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			control := &Control{Settings: Settings{MaxJobBytes: bound}, Clock: new(clock.Manual), owned: make(map[unit.Shard]*ownedShard)}
			for i := range unit.Shard(2) {
				control.owned[i] = &ownedShard{shard: &dispatch.Shard{Limits: dispatch.DefaultLimits}, ctx: context.Background()}
			}
			is.NoErr(control.owned[0].shard.Submit(0, 0, job(known, 100)))
			shard := control.owned[1]
			if c.request.Job == known {
				shard = control.owned[0]
			}
			is.Equal(control.refuseSubmission(shard, &c.request) != nil, c.refused)
		})
	}
}
