package dispatch

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// cancelTimeout is the longest time from the confirmation of a cancel, or from a
	// late start, to the end of the last run of the job, without faults near.
	cancelTimeout = 3200 * clock.Millisecond
	// contactTimeout is how long faults excuse runs that are left.
	contactTimeout = 3 * clock.Second
)

// cancelSimulation is a simulation whose jobs are perpetual and are cancelled.
type cancelSimulation struct {
	*simulation
	cancelAt    map[unit.Job]clock.Millis // when the caller first asks
	confirmedAt map[unit.Job]clock.Millis // when the cancel was confirmed
	calmSince   clock.Millis              // end of the faults, 0 while there are some
}

// cancelJobs cancels the jobs that are due, again until it is confirmed, as callers do.
func (sim *cancelSimulation) cancelJobs() {
	owner := sim.shards[0].owner
	for _, id := range slices.Sorted(maps.Keys(sim.cancelAt)) {
		if _, stored := sim.store[id]; !stored || sim.now < sim.cancelAt[id] || sim.confirmedAt[id] > 0 {
			continue
		}
		if state, ok := owner.State(id); ok && state == JobCancelled {
			sim.confirmedAt[id] = sim.now
			continue
		}
		owner.Cancel(sim.now, sim.wall(), id)
	}
}

// checkRuns checks that no run of a cancelled job is left for too long.
func (sim *cancelSimulation) checkRuns() {
	if sim.calmSince == 0 {
		return
	}
	for _, x := range sim.executors {
		for id, r := range x.running {
			confirmedAt := sim.confirmedAt[id.Job]
			if confirmedAt == 0 {
				continue
			}
			if since := max(confirmedAt, r.startedAt, sim.calmSince.Add(contactTimeout)); sim.now.Sub(since) > cancelTimeout {
				sim.reportViolation("%s, run %d, is left on %s, cancelled at %d, started at %d, calm since %d", id, r.run, x.id, confirmedAt, r.startedAt, sim.calmSince)
			}
		}
	}
}

// end ends all faults but the orders that are late.
func (sim *cancelSimulation) endFaults() {
	sim.faults, sim.calmSince = faults{keepsLate: sim.faults.keepsLate, misdelivered: sim.faults.misdelivered}, sim.now
	for _, x := range sim.executors {
		x.partitionedUntil, x.cutOffUntil, x.silentUntil, x.unlistedUntil, x.outdatedUntil = 0, 0, 0, 0, 0
	}
}

// Guards against a run that goes on after the cancel of its job was confirmed.
func TestCancelledJobsStopUnderFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"none":              {},
		"lost":              {lost: 0.1},
		"late":              {late: 0.1},
		"late, often":       {late: 0.5},
		"crashes":           {crash: 0.002, late: 0.1},
		"partitions":        {partition: 0.002},
		"replaced owners":   {replaceOwner: 0.005, late: 0.2},
		"cut off, late":     {replaceOwner: 0.003, cutOff: 0.4, late: 0.1, partition: 0.0005, crash: 0.001},
		"restarts":          {lost: 0.02, late: 0.2, crash: 0.002, misdelivered: 0.8},
		"silent restarts":   {silentRestart: 0.0015, misdelivered: 0.5, late: 0.1},
		"unlisted":          {unlisted: 0.001, late: 0.2, crash: 0.001, misdelivered: 0.5, replaceOwner: 0.001},
		"outdated":          {outdated: 0.7, late: 0.2, crash: 0.002, misdelivered: 0.5, replaceOwner: 0.002},
		"late to the next":  {late: 0.2, crash: 0.003, misdelivered: 1, keepsLate: true},
		"late, row dropped": {late: 0.2, crash: 0.003, unlisted: 0.003, misdelivered: 1, keepsLate: true},
		"late, replaced":    {late: 0.2, crash: 0.003, unlisted: 0.001, misdelivered: 1, keepsLate: true, replaceOwner: 0.003},
		"all":               {lost: 0.03, late: 0.1, crash: 0.001, partition: 0.0005, replaceOwner: 0.003, misdelivered: 0.5, silentRestart: 0.0005},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			confirmed := 0
			for seed := range int64(seeds() / 2) {
				sim := &cancelSimulation{simulation: newSimulation(seed, f), cancelAt: make(map[unit.Job]clock.Millis), confirmedAt: make(map[unit.Job]clock.Millis)}
				for i := range 1800 {
					if i%40 == 0 && i < 1300 {
						id := unit.Job("p" + strconv.Itoa(i))
						sim.submitTo(sim.shards[0], &Spec{
							ID: id, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 3},
							Steps: []Step{{Count: 2, Size: unit.Resources{CPU: 500, Memory: 200}, Perpetual: true}},
						})
						sim.cancelAt[id] = sim.now.Add(clock.Span(sim.random.Intn(3000)))
					}
					if i == 800 {
						sim.endFaults()
					}
					sim.cancelJobs()
					sim.tick()
					sim.checkRuns()
					if sim.violations != nil {
						t.Logf("seed %d", seed)
						break
					}
				}
				is.NoErr(sim.violations)
				confirmed += len(sim.confirmedAt)
			}
			is.True(confirmed > 0)
		})
	}
}
