package work

import (
	"math"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
)

// Figures is what a replay of jobs shows.
type Figures struct {
	UrgentWaits     []float64 // ms from submission to start, in order; tasks that never started count to the end
	PeakWaits       []float64 // of those submitted at the peak
	BatchFinished   int
	BatchDoneInTime float64 // s of true run time of batch tasks finished before the last submission
	BatchDone       float64 // s of true run time of finished batch tasks
	Evictions       int
	LostRunTime     float64 // s of run time that had to be done again
	MaxStandingGap  clock.Span
	StandingGaps    int
	UrgentBlocked   float64 // s in which urgent work waited too long while batch ran
	UrgentSubmitted int
	Impossible      int // impossible jobs refused at once
	Failed          int // tasks reported as failed for good; none fails in a trace for long
}

// Figures sums up the replay.
func (sim *Simulation) Figures() Figures {
	f := Figures{Evictions: sim.evictions, Impossible: sim.impossibleRefused, Failed: sim.failedTasks, UrgentBlocked: float64(sim.blockedSeconds)}
	last := sim.lastBatchSubmission()
	for _, t := range sim.tasks.All() {
		f.LostRunTime += t.lostProgress / float64(clock.Second)
		switch t.job.Class {
		case service.LatencyCritical:
			sim.addUrgentTask(&f, t)
		case service.Standing:
			sim.addStandingTask(&f, t)
		case service.Batch:
			if t.finished < clock.Never {
				f.BatchFinished++
				f.BatchDone += float64(t.runTime) / float64(clock.Second)
				if t.finished < last {
					f.BatchDoneInTime += float64(t.runTime) / float64(clock.Second)
				}
			}
		}
	}
	slices.Sort(f.UrgentWaits)
	slices.Sort(f.PeakWaits)
	return f
}

// lastBatchSubmission returns the instant of the last submission of batch work. Until
// then the workers are short, so that what is finished by then is throughput.
func (sim *Simulation) lastBatchSubmission() clock.Millis {
	last := clock.Millis(0)
	for i := range sim.events {
		if j := sim.events[i].Job; j != nil && j.Class == service.Batch {
			last = sim.events[i].At
		}
	}
	return last
}

func (sim *Simulation) addUrgentTask(f *Figures, t *taskRow) {
	if t.cancelled {
		return
	}
	f.UrgentSubmitted++
	wait := float64(min(t.started, sim.now).Sub(t.submitted))
	f.UrgentWaits = append(f.UrgentWaits, wait)
	if sim.header.InPeak(t.submitted) {
		f.PeakWaits = append(f.PeakWaits, wait)
	}
}

func (sim *Simulation) addStandingTask(f *Figures, t *taskRow) {
	gap, gaps := t.longestGap, t.gapCount
	if t.started < clock.Never && t.runningAttempts == 0 && !t.cancelled {
		gap, gaps = max(gap, sim.now.Sub(t.lastStop)), gaps+1
	}
	f.MaxStandingGap = max(f.MaxStandingGap, gap)
	f.StandingGaps += gaps
}

// Samples returns the state of the world once a second.
func (sim *Simulation) Samples() []Sample { return sim.samples }

// Percentile returns the value below which the given percentage of the sorted
// values lies, by the nearest-rank method. It is NaN if there are none.
func Percentile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	rank := int(math.Ceil(percent / 100 * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}
