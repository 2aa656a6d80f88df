package worker

import "mimosadock/schedule/unit"

// Bounds of the quarantine. Failures of a single kind may be caused by that
// kind. Four consecutive failures of at least two kinds count as a fault of
// the worker.
const (
	minQuarantineFailures = 4
	minQuarantineKinds    = 2
)

// Health tracks the failures at a worker. The zero value is a worker without
// failures.
type Health struct {
	Quarantined         bool
	consecutiveFailures int
	failedKinds         []unit.Kind // at most minQuarantineKinds of them
	hasFinished         bool        // an attempt has finished at the worker
}

// FailureWeight returns how strongly a failure at the worker counts as a
// fault of the task. It returns 2 if the worker has finished other work, 1
// if it has not, and 0 if it fails several kinds.
func (h *Health) FailureWeight() int {
	switch {
	case h.Quarantined || len(h.failedKinds) >= minQuarantineKinds:
		return 0
	case h.hasFinished:
		return 2
	}
	return 1
}

// RecordFailure records a failed attempt of kind k. It reports whether the
// failure put the worker into quarantine.
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

// RecordSuccess records a finished attempt. It ends a quarantine.
func (h *Health) RecordSuccess() { *h = Health{hasFinished: true} }
