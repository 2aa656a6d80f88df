package dispatch

import (
	"maps"
	"strconv"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// dataCentreOf returns the data centre of executor n.
func dataCentreOf(n int) unit.DataCentre { return unit.DataCentre("d" + strconv.Itoa(n%2)) }

// changeEvacuations begins or ends the evacuation of a data centre at random. The
// owners read it at once, except those that have not read anything yet.
func (sim *simulation) changeEvacuations() {
	if sim.faults.evacuate == 0 {
		return
	}
	if sim.chance(sim.faults.evacuate) {
		next, name := maps.Clone(sim.evacuated), dataCentreOf(sim.random.Intn(2))
		if next == nil {
			next = make(DataCentres)
		}
		if next.Has(name) {
			delete(next, name)
		} else {
			next[name] = struct{}{}
		}
		sim.evacuated = next
		for _, sh := range sim.shards {
			if !sh.owner.AwaitsOperator {
				sh.owner.SetEvacuated(sim.now, next)
			}
		}
	}
	for _, sh := range sim.shards {
		if sh.owner.AwaitsOperator && sim.now.Sub(sh.replacedAt) > 300*clock.Millisecond {
			sh.owner.SetEvacuated(sim.now, sim.evacuated)
		}
	}
}

// endEvacuations ends all evacuations. All owners read it at once.
func (sim *simulation) endEvacuations() {
	sim.evacuated = nil
	for _, sh := range sim.shards {
		sh.owner.SetEvacuated(sim.now, nil)
	}
}

// checkDataCentre reports a start that a current owner sends to an executor in an
// evacuated data centre, or to one that it knows to drain.
func (sim *simulation) checkDataCentre(from *Shard, o *Order) {
	e := from.executors.Get(o.To.Executor)
	for _, sh := range sim.shards {
		if sh.owner != from {
			continue
		}
		if x := sim.executors[o.To.Executor]; x != nil && sim.evacuated.Has(x.dataCentre) || e != nil && e.Draining {
			sim.reportViolation("%s is sent to %s, which takes no starts", o.Start.Task, o.To.Executor)
		}
	}
}
