package proof

import (
	"mimosadock/replay/revision"
	"mimosadock/replay/trace"
	"mimosadock/schedule/config"
)

// changes replays the operators' changes of t.
func (r *Result) changes(t *trace.Trace) error {
	w, err := revision.Replay(t)
	if err != nil {
		return err
	}
	r.Figures.Put("changes.accepted", float64(w.Results[config.Accepted]))
	r.Figures.Put("changes.stale", float64(w.Results[config.Stale]))
	r.Figures.Put("changes.notTaken", float64(w.Refused))
	r.Figures.Put("changes.slowestMs", float64(w.Slowest))
	r.invariants(&w.Ledger)
	return nil
}
