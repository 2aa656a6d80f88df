package invariant

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Guards against checks that never fail. Each case with an expected invariant
// violates only that invariant.
func TestEachCheckCanFail(t *testing.T) {
	upstreams := func(running unit.Slots) *table.Table[unit.Upstream, Upstream] {
		var u table.Table[unit.Upstream, Upstream]
		u.Put("10.0.0.1:80", Upstream{Slots: 8, Running: running})
		return &u
	}
	workers := func(attempts ...RunningAttempt) func(*Ledger) {
		var c table.Table[unit.Worker, unit.Resources]
		c.Put("a", unit.Resources{CPU: 1000})
		c.Put("b", unit.Resources{CPU: 1000})
		return func(l *Ledger) { CheckWorkers(l, 0, &c, attempts) }
	}
	answer := func(r Request, from unit.Request, whole bool) func(*Ledger) {
		return func(l *Ledger) { CheckAnswer(l, 0, &r, from, whole) }
	}
	start := func(u Upstream, r Request) func(*Ledger) {
		return func(l *Ledger) { CheckStart(l, 10_000, "10.0.0.1:80", &u, &r) }
	}
	resumption := func(r Resumption) func(*Ledger) {
		return func(l *Ledger) {
			CheckResumption(l, 0, "t", &r)
			var tasks table.Table[unit.Task, Resumption]
			tasks.Put("t", r)
			CheckFinalResumptions(l, 0, &tasks)
		}
	}
	revision := func(p ProcessRevision) func(*Ledger) {
		var ps table.Table[unit.Instance, ProcessRevision]
		ps.Put("p", p)
		return func(l *Ledger) { CheckRevisions(l, 10_000, []Acceptance{{4, 1_000}, {5, 5_000}, {6, 9_000}}, &ps) }
	}
	cpu := func(n unit.MilliCPU) unit.Resources { return unit.Resources{CPU: n} }
	tests := map[string]struct {
		check func(*Ledger)
		want  Invariant // zero expects no violation
	}{
		"slots filled":        {func(l *Ledger) { CheckUpstreams(l, 0, upstreams(8)) }, 0},
		"one over the slots":  {func(l *Ledger) { CheckUpstreams(l, 0, upstreams(9)) }, Capacity},
		"worker filled":       {workers(RunningAttempt{Task: "t", Worker: "a", Granted: cpu(600)}, RunningAttempt{Task: "u", Worker: "a", Granted: cpu(400)}), 0},
		"worker overfilled":   {workers(RunningAttempt{Task: "t", Worker: "a", Granted: cpu(600)}, RunningAttempt{Task: "u", Worker: "a", Granted: cpu(401)}), Capacity},
		"two places":          {workers(RunningAttempt{Task: "t", Worker: "a"}, RunningAttempt{Task: "t", Worker: "b", Attempt: 2}), SinglePlacement},
		"spare attempt":       {workers(RunningAttempt{Task: "t", Worker: "a"}, RunningAttempt{Task: "t", Worker: "b", Speculative: true}), 0},
		"resumed once":        {resumption(Resumption{Interruptions: 1, Resumes: 1, FinishCount: 1}), 0},
		"resumed twice":       {resumption(Resumption{Interruptions: 1, Resumes: 2}), ResumeOnce},
		"never resumed":       {resumption(Resumption{Interruptions: 1}), ResumeOnce},
		"cancelled":           {resumption(Resumption{Interruptions: 1, Exempt: true}), 0},
		"finished twice":      {resumption(Resumption{FinishCount: 2}), ResumeOnce},
		"own answer":          {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.Ran}, "r1", true), 0},
		"answer of another":   {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.Ran}, "r2", true), CorrectAnswer},
		"part of an answer":   {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.Ran}, "r1", false), CorrectAnswer},
		"two answers":         {answer(Request{ID: "r1", Answers: 2, Starts: 1, Verdict: verdict.Ran}, "r1", true), CorrectAnswer},
		"refused after a run": {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.DidNotRun}, "r1", true), NotRunVerdict},
		"run after refusal":   {start(Upstream{}, Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.DidNotRun}), NotRunVerdict},
		"request that is not idempotent started twice": {start(Upstream{}, Request{ID: "r1", Starts: 2}), AtMostOnce},
		"idempotent request started twice":             {start(Upstream{}, Request{ID: "r1", Starts: 2, Idempotent: true}), 0},
		"work within 3 s":                              {start(Upstream{Leaving: true, LeavingSince: 7_000}, Request{ID: "r1", Starts: 1}), 0},
		"work after 3 s":                               {start(Upstream{Leaving: true, LeavingSince: 6_999}, Request{ID: "r1", Starts: 1}), LeavingUpstream},
		"drained":                                      {func(l *Ledger) { CheckDrain(l, 0, &Request{}, false) }, 0},
		"cut off by drain":                             {func(l *Ledger) { CheckDrain(l, 0, &Request{}, true) }, GracefulDrain},
		"revision in force":                            {revision(ProcessRevision{Revision: 5}), 0},
		"revision not adopted":                         {revision(ProcessRevision{Revision: 4}), RevisionAdoption},
		"ready since 4 s":                              {revision(ProcessRevision{Revision: 4, ReadinessChangedAt: 6_000}), 0},
		"not ready":                                    {revision(ProcessRevision{Revision: 4, NotReady: true}), 0},
		"revision reverted":                            {revision(ProcessRevision{Revision: 5, HighestRevision: 6}), RevisionAdoption},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Ledger
			tc.check(&l)
			for i := Capacity; i <= RevisionAdoption; i++ {
				is.Equal(l.ViolationCount(i) > 0, i == tc.want)
			}
			if tc.want > 0 {
				is.True(l.CheckCount(tc.want) > 0)
			}
		})
	}
}
