package proof

import (
	"mimosadock/replay/revision"
	"mimosadock/replay/trace"
	"mimosadock/schedule/config"
)

// replayChanges replays the operators' changes of t and stores their figures.
func (r *Result) replayChanges(t *trace.Trace) error {
	sim, err := revision.Replay(t)
	if err != nil {
		return err
	}
	r.Figures.Put("changes.accepted", float64(sim.Results[config.Accepted]))
	r.Figures.Put("changes.stale", float64(sim.Results[config.Stale]))
	r.Figures.Put("changes.notTaken", float64(sim.LostChanges))
	r.Figures.Put("changes.slowestMs", float64(sim.SlowestAdoption))
	r.addInvariants(&sim.Ledger)
	return nil
}
