package soak

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const (
	evacuationSpan     = 7 * time.Second // of each data centre in turn; longer than maxStartAfterEvacuation
	evacuationCalmSpan = 2 * time.Second // before the end of the scenario, without an evacuation
)

// Guards against starts in a data centre that the operator evacuates, and against
// jobs that are lost meanwhile. Each data centre is evacuated in turn, beside one kind
// of faults.
func TestEvacuations(t *testing.T) {
	first := envInt("MIMOSA_FIRST_SEED", 1)
	t.Parallel()
	for name, inject := range map[string]func(s *scenario, r *rand.Rand, end time.Time){
		"owner removed for good":     (*scenario).removeOwners,
		"shards reassigned at once":  (*scenario).reassignShards,
		"store does not answer":      (*scenario).failStore,
		"late orders reach restarts": (*scenario).restartBesideLateOrders,
	} {
		for seed := range seeds(nil).with(first, envInt("MIMOSA_SOAK_SEEDS", 1)) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				s := newScenario(t, seed)
				defer s.close()
				s.runEvacuations(seed, inject)
				s.report(seed)
			})
		}
	}
}

// runEvacuations submits and cancels jobs and evacuates each data centre in turn,
// beside the faults that inject injects.
func (s *scenario) runEvacuations(seed int64, inject func(s *scenario, r *rand.Rand, end time.Time)) {
	end := time.Now().Add(startupSpan + time.Duration(len(dataCentres))*evacuationSpan)
	s.group.Go("submit", func(ctx context.Context) error {
		s.submitAndCancelJobs(ctx, seed, end)
		return nil
	})
	s.startChecks(seed, (*Checker).CheckStops)
	time.Sleep(startupSpan)
	s.faultGroup.Go("evacuate", func(context.Context) error {
		for _, name := range dataCentres {
			s.evacuate(name)
		}
		return nil
	})
	inject(s, rand.New(rand.NewSource(seed+2)), end)
	s.endFaults()
	s.waitForCompletion(evacuationCalmSpan)
}

// evacuate requests the evacuation of a data centre and ends it after evacuationSpan.
func (s *scenario) evacuate(name string) {
	s.store.Put("keyed.op", "evacuate/"+name, []byte("{}"))
	s.checker.RecordEvacuation(name, time.Now())
	time.Sleep(evacuationSpan)
	s.checker.RecordEvacuationEnd(name)
	s.store.Put("keyed.op", "evacuate/"+name, nil)
}

// failStore makes the store refuse all calls again and again.
func (s *scenario) failStore(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		s.store.Down.Store(true)
		s.runFault("store does not answer", time.Duration(300+r.Intn(2500))*time.Millisecond, func() { s.store.Down.Store(false) })
		time.Sleep(time.Duration(500+r.Intn(1500)) * time.Millisecond)
	}
}
