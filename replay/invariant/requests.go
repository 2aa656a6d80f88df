package invariant

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// leavingGrace is how long an upstream may get new work after the first notice
// that it is leaving.
const leavingGrace = 3 * clock.Second

// Upstream is what an upstream really does.
type Upstream struct {
	Slots        unit.Slots
	Running      unit.Slots
	Leaving      bool
	LeavingSince clock.Millis // of the first notice that it is leaving
}

// CheckUpstreams checks that no upstream runs more than it can hold.
func CheckUpstreams(l *Ledger, now clock.Millis, upstreams *table.Table[unit.Upstream, Upstream]) {
	for address, u := range upstreams.All() {
		l.RecordCheck(Capacity)
		if u.Running > u.Slots {
			l.RecordViolation(Capacity, now, "upstream %s runs %d requests in %d slots", address, u.Running, u.Slots)
		}
	}
}

// CheckStart checks the start of a request at an upstream.
func CheckStart(l *Ledger, now clock.Millis, address unit.Upstream, u *Upstream, r *Request) {
	l.RecordCheck(LeavingUpstream)
	if u.Leaving && now.Sub(u.LeavingSince) > leavingGrace {
		l.RecordViolation(LeavingUpstream, now, "upstream %s got %s %d ms after its notice", address, r.ID, now.Sub(u.LeavingSince))
	}
	l.RecordCheck(AtMostOnce)
	if !r.Idempotent && r.Starts > 1 {
		l.RecordViolation(AtMostOnce, now, "%s started %d times", r.ID, r.Starts)
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
func CheckAnswer(l *Ledger, now clock.Millis, r *Request, answeredID unit.Request, complete bool) {
	l.RecordCheck(CorrectAnswer)
	switch {
	case r.Answers > 1:
		l.RecordViolation(CorrectAnswer, now, "caller of %s got %d answers", r.ID, r.Answers)
	case answeredID != r.ID:
		l.RecordViolation(CorrectAnswer, now, "caller of %s got the answer to %s", r.ID, answeredID)
	case !complete:
		l.RecordViolation(CorrectAnswer, now, "caller of %s got a part as the whole answer", r.ID)
	}
	checkNotRun(l, now, r)
}

func checkNotRun(l *Ledger, now clock.Millis, r *Request) {
	l.RecordCheck(NotRunVerdict)
	if r.Verdict == verdict.DidNotRun && r.Starts > 0 {
		l.RecordViolation(NotRunVerdict, now, "%s was reported as not run and started %d times", r.ID, r.Starts)
	}
}

// CheckDrain checks a request that ends at a process which is shutting down
// gracefully: it may not be cut off.
func CheckDrain(l *Ledger, now clock.Millis, r *Request, cutOff bool) {
	l.RecordCheck(GracefulDrain)
	if cutOff {
		l.RecordViolation(GracefulDrain, now, "%s was cut off by a graceful shutdown", r.ID)
	}
}
