package invariant

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Guards against checks that can't fail: each case breaks one rule.
func TestEachCheckCanFail(t *testing.T) {
	upstreams := func(running unit.Slots) *table.Table[unit.Upstream, Upstream] {
		var u table.Table[unit.Upstream, Upstream]
		u.Put("10.0.0.1:80", Upstream{Slots: 8, Running: running})
		return &u
	}
	workers := func(attempts ...Running) func(*Ledger) {
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
			CheckResumed(l, 0, &tasks)
		}
	}
	revision := func(p InForce) func(*Ledger) {
		var ps table.Table[unit.Instance, InForce]
		ps.Put("p", p)
		return func(l *Ledger) { CheckRevisions(l, 10_000, []Acceptance{{4, 1_000}, {5, 5_000}, {6, 9_000}}, &ps) }
	}
	cpu := func(n unit.MilliCPU) unit.Resources { return unit.Resources{CPU: n} }
	tests := map[string]struct {
		check func(*Ledger)
		want  Invariant // zero expects no violation
	}{
		"slots filled":         {func(l *Ledger) { CheckUpstreams(l, 0, upstreams(8)) }, 0},
		"one over the slots":   {func(l *Ledger) { CheckUpstreams(l, 0, upstreams(9)) }, Capacity},
		"worker filled":        {workers(Running{Task: "t", Worker: "a", Granted: cpu(600)}, Running{Task: "u", Worker: "a", Granted: cpu(400)}), 0},
		"worker overfilled":    {workers(Running{Task: "t", Worker: "a", Granted: cpu(600)}, Running{Task: "u", Worker: "a", Granted: cpu(401)}), Capacity},
		"two places":           {workers(Running{Task: "t", Worker: "a"}, Running{Task: "t", Worker: "b", Attempt: 2}), OnePlace},
		"spare attempt":        {workers(Running{Task: "t", Worker: "a"}, Running{Task: "t", Worker: "b", Spare: true}), 0},
		"resumed once":         {resumption(Resumption{Evictions: 1, Resumes: 1, Finished: 1}), 0},
		"resumed twice":        {resumption(Resumption{Evictions: 1, Resumes: 2}), ResumeOnce},
		"never resumed":        {resumption(Resumption{Evictions: 1}), ResumeOnce},
		"cancelled":            {resumption(Resumption{Evictions: 1, Gone: true}), 0},
		"finished twice":       {resumption(Resumption{Finished: 2}), ResumeOnce},
		"own answer":           {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.Ran}, "r1", true), 0},
		"answer of another":    {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.Ran}, "r2", true), OwnAnswer},
		"part of an answer":    {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.Ran}, "r1", false), OwnAnswer},
		"two answers":          {answer(Request{ID: "r1", Answers: 2, Starts: 1, Verdict: verdict.Ran}, "r1", true), OwnAnswer},
		"refused after a run":  {answer(Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.DidNotRun}, "r1", true), NotRun},
		"run after refusal":    {start(Upstream{}, Request{ID: "r1", Answers: 1, Starts: 1, Verdict: verdict.DidNotRun}), NotRun},
		"order run twice":      {start(Upstream{}, Request{ID: "r1", Starts: 2}), AtMostOnce},
		"check run twice":      {start(Upstream{}, Request{ID: "r1", Starts: 2, Idempotent: true}), 0},
		"work within 3 s":      {start(Upstream{Leaving: true, Since: 7_000}, Request{ID: "r1", Starts: 1}), 0},
		"work after 3 s":       {start(Upstream{Leaving: true, Since: 6_999}, Request{ID: "r1", Starts: 1}), LeavingEmpty},
		"drained":              {func(l *Ledger) { CheckDrained(l, 0, &Request{}, false) }, 0},
		"cut off by drain":     {func(l *Ledger) { CheckDrained(l, 0, &Request{}, true) }, WholeDrain},
		"revision in force":    {revision(InForce{Revision: 5}), 0},
		"revision not adopted": {revision(InForce{Revision: 4}), Adopted},
		"just back":            {revision(InForce{Revision: 4, Reachable: 6_000}), 0},
		"cut off":              {revision(InForce{Revision: 4, Cut: true}), 0},
		"revision reverted":    {revision(InForce{Revision: 5, Highest: 6}), Adopted},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Ledger
			tc.check(&l)
			for i := Capacity; i <= Adopted; i++ {
				is.Equal(l.Count(i) > 0, i == tc.want)
			}
			if tc.want > 0 {
				is.True(l.Checks(tc.want) > 0)
			}
		})
	}
}
