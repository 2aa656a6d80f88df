package control

import (
	"sync"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// suspicionDelay is the time without any reply of a process to a waiting call
	// after which the next submission is sent only once the process has replied to a
	// probe. Most replies take a few milliseconds.
	suspicionDelay = 150 * clock.Millisecond
	// submissionProbeTimeout bounds the probe before a submission. It leaves time for
	// a call to the next owner within ownerTimeout.
	submissionProbeTimeout = 300 * time.Millisecond
)

// liveness has, for each process, whether it replies to calls. The outcome of a
// submission that is sent to a process which is cut off or without power is unknown;
// one that is not sent has not run. The zero value is ready to use. It is safe for
// concurrent use.
type liveness struct {
	mu        sync.Mutex
	processes map[unit.Member]callRecord
}

// callRecord is what is known of the calls to a process.
type callRecord struct {
	waiting        int          // calls without an outcome
	unrepliedSince clock.Millis // of the last reply, or when the first call after it was sent; 0 if no call waits for one
}

// begin records that a call is sent.
func (l *liveness) begin(m unit.Member, now clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.processes == nil {
		l.processes = make(map[unit.Member]callRecord)
	}
	r := l.processes[m]
	r.waiting++
	if r.unrepliedSince == 0 {
		r.unrepliedSince = max(1, now)
	}
	l.processes[m] = r
}

// end records the end of a call, and whether the process has replied. A process that
// has replied and has no calls is forgotten.
func (l *liveness) end(m unit.Member, now clock.Millis, replied bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.processes[m]
	r.waiting--
	switch {
	case replied && r.waiting <= 0:
		delete(l.processes, m)
		return
	case replied:
		r.unrepliedSince = max(1, now) // the other calls may be answered, too
	}
	l.processes[m] = r
}

// isSuspect reports whether a process has replied to no call for suspicionDelay while
// one was waiting.
func (l *liveness) isSuspect(m unit.Member, now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.processes[m]
	return r.unrepliedSince > 0 && now.Sub(r.unrepliedSince) > suspicionDelay
}

// retain forgets the processes that own no shard.
func (l *liveness) retain(owners map[unit.Shard]unit.Member) {
	owning := make(map[unit.Member]bool, len(owners))
	for _, m := range owners {
		owning[m] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for m, r := range l.processes {
		if !owning[m] && r.waiting <= 0 {
			delete(l.processes, m)
		}
	}
}
