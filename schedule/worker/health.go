package worker

import "mimosadock/schedule/unit"

// Bounds of the quarantine. Failures of one kind alone may be the fault of the
// kind; four in a row over two kinds are taken for the fault of the worker.
const (
	quarantineAfter = 4
	quarantineKinds = 2
)

// Health tells whether a worker fails what it starts. The zero value is that of
// a worker that is not known to fail.
type Health struct {
	Quarantined bool
	failures    int // in a row
	kinds       []unit.Kind
	proven      bool // it has finished something
}

// Blame returns how much a failure at the worker speaks against the task: 2 if
// the worker is known to finish other work, 1 if it is not, and 0 if it fails
// several kinds.
func (h *Health) Blame() int {
	switch {
	case h.Quarantined || len(h.kinds) >= quarantineKinds:
		return 0
	case h.proven:
		return 2
	}
	return 1
}

// Failed notes that an attempt failed. It reports whether the worker was put
// into quarantine by it.
func (h *Health) Failed(k unit.Kind) bool {
	h.failures++
	known := false
	for _, have := range h.kinds {
		known = known || have == k
	}
	if !known && len(h.kinds) < quarantineKinds {
		h.kinds = append(h.kinds, k)
	}
	if h.Quarantined || h.failures < quarantineAfter || len(h.kinds) < quarantineKinds {
		return false
	}
	h.Quarantined = true
	return true
}

// Finished notes that an attempt finished, which ends a quarantine.
func (h *Health) Finished() { *h = Health{proven: true} }
