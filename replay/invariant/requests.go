package invariant

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// leavingGrace is how long an upstream may receive new work after the first
// notice that it is leaving.
const leavingGrace = 3 * clock.Second

// Upstream is the actual state of an upstream.
type Upstream struct {
	Slots        unit.Slots
	Running      unit.Slots
	Leaving      bool
	LeavingSince clock.Millis // instant of the first notice that it is leaving
}

// CheckUpstreams checks that no upstream runs more requests than it has slots.
func CheckUpstreams(l *Ledger, now clock.Millis, upstreams *table.Table[unit.Upstream, Upstream]) {
	for address, u := range upstreams.All() {
		l.RecordCheck(Capacity)
		if u.Running > u.Slots {
			l.RecordViolation(Capacity, now, "upstream %s runs %d requests in %d slots", address, u.Running, u.Slots)
		}
	}
}

// CheckStart checks the start of request r at upstream u. A leaving upstream
// may not receive work after leavingGrace, a request that isn't idempotent may
// start only once, and a request that was reported as not run may not start.
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

// Request is the actual history of a request.
type Request struct {
	ID         unit.Request
	Idempotent bool
	Starts     int // number of starts at upstreams
	Answers    int // number of answers that reached the caller
	Verdict    verdict.Verdict
}

// CheckAnswer checks an answer that reaches the caller of r. answeredID is the
// id of the request that the answer belongs to. complete reports whether the
// answer has all its parts.
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

// CheckDrain checks a request that ends at a process during a graceful
// shutdown. The shutdown may not cut it off.
func CheckDrain(l *Ledger, now clock.Millis, r *Request, cutOff bool) {
	l.RecordCheck(GracefulDrain)
	if cutOff {
		l.RecordViolation(GracefulDrain, now, "%s was cut off by a graceful shutdown", r.ID)
	}
}
