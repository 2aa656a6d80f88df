package worker

import "mimosadock/schedule/unit"

// Bounds of the quarantine. Failures of one kind alone may be the fault of the
// kind; four in a row over two kinds are taken for the fault of the worker.
const (
	minQuarantineFailures = 4
	minQuarantineKinds    = 2
)

// Health tells whether a worker fails what it starts. The zero value is that of
// a worker that is not known to fail.
type Health struct {
	Quarantined         bool
	consecutiveFailures int // in a row
	failedKinds         []unit.Kind
	hasFinished         bool // it has finished something
}

// FailureWeight returns how much a failure at the worker speaks against the task: 2 if
// the worker is known to finish other work, 1 if it is not, and 0 if it fails
// several kinds.
func (h *Health) FailureWeight() int {
	switch {
	case h.Quarantined || len(h.failedKinds) >= minQuarantineKinds:
		return 0
	case h.hasFinished:
		return 2
	}
	return 1
}

// RecordFailure notes that an attempt failed. It reports whether the worker was put
// into quarantine by it.
func (h *Health) RecordFailure(k unit.Kind) bool {
	h.consecutiveFailures++
	known := false
	for _, have := range h.failedKinds {
		known = known || have == k
	}
	if !known && len(h.failedKinds) < minQuarantineKinds {
		h.failedKinds = append(h.failedKinds, k)
	}
	if h.Quarantined || h.consecutiveFailures < minQuarantineFailures || len(h.failedKinds) < minQuarantineKinds {
		return false
	}
	h.Quarantined = true
	return true
}

// RecordSuccess notes that an attempt finished, which ends a quarantine.
func (h *Health) RecordSuccess() { *h = Health{hasFinished: true} }
