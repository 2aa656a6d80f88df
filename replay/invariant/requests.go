package invariant

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// leaveTime is how long an upstream may get new work after the first notice
// that it is leaving.
const leaveTime = 3 * clock.Second

// Upstream is what an upstream really does.
type Upstream struct {
	Slots   unit.Slots
	Running unit.Slots
	Leaving bool
	Since   clock.Millis // of the first notice that it is leaving
}

// CheckUpstreams checks that no upstream runs more than it can hold.
func CheckUpstreams(l *Ledger, now clock.Millis, upstreams *table.Table[unit.Upstream, Upstream]) {
	for address, u := range upstreams.All() {
		l.Checked(Capacity)
		if u.Running > u.Slots {
			l.Violated(Capacity, now, "upstream %s runs %d requests in %d slots", address, u.Running, u.Slots)
		}
	}
}

// CheckStart checks the start of a request at an upstream.
func CheckStart(l *Ledger, now clock.Millis, address unit.Upstream, u *Upstream, r *Request) {
	l.Checked(LeavingEmpty)
	if u.Leaving && now.Sub(u.Since) > leaveTime {
		l.Violated(LeavingEmpty, now, "upstream %s got %s %d ms after its notice", address, r.ID, now.Sub(u.Since))
	}
	l.Checked(AtMostOnce)
	if !r.Idempotent && r.Starts > 1 {
		l.Violated(AtMostOnce, now, "%s started %d times", r.ID, r.Starts)
	}
	if r.Answers > 0 {
		checkNotRun(l, now, r)
	}
}

// Request is what became of a request.
type Request struct {
	ID         unit.Request
	Idempotent bool
	Starts     int // at upstreams
	Answers    int // to the caller
	Verdict    verdict.Verdict
}

// CheckAnswer checks an answer that reaches the caller of r. from is the id of
// the request that the answer belongs to, and whole tells whether an answer
// that claims to be whole is.
func CheckAnswer(l *Ledger, now clock.Millis, r *Request, from unit.Request, whole bool) {
	l.Checked(OwnAnswer)
	switch {
	case r.Answers > 1:
		l.Violated(OwnAnswer, now, "caller of %s got %d answers", r.ID, r.Answers)
	case from != r.ID:
		l.Violated(OwnAnswer, now, "caller of %s got the answer to %s", r.ID, from)
	case !whole:
		l.Violated(OwnAnswer, now, "caller of %s got a part as the whole answer", r.ID)
	}
	checkNotRun(l, now, r)
}

func checkNotRun(l *Ledger, now clock.Millis, r *Request) {
	l.Checked(NotRun)
	if r.Verdict == verdict.DidNotRun && r.Starts > 0 {
		l.Violated(NotRun, now, "%s was reported as not run and started %d times", r.ID, r.Starts)
	}
}

// CheckDrained checks a request that ends at a process which is shutting down
// gracefully: it may not be cut off.
func CheckDrained(l *Ledger, now clock.Millis, r *Request, cutOff bool) {
	l.Checked(WholeDrain)
	if cutOff {
		l.Violated(WholeDrain, now, "%s was cut off by a graceful shutdown", r.ID)
	}
}
