package work

import (
	"math"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
)

// Figures are the results of a replay of jobs.
type Figures struct {
	CriticalWaits          []float64 // of latency-critical tasks, ms from submission to start, ascending; a task that never started waits until the end
	PeakWaits              []float64 // the waits of tasks submitted in the peak, ascending
	BatchTasksFinished     int
	BatchRunSecondsInTime  float64 // actual run time of the batch tasks that finished before the last batch submission
	BatchRunSeconds        float64 // actual run time of the finished batch tasks
	Evictions              int
	LostRunTime            float64 // s of run time that was lost and repeated
	MaxStandingGap         clock.Span
	StandingGaps           int
	CriticalBlockedSeconds float64 // in which a latency-critical task had waited longer than maxCriticalWait while a batch task ran
	CriticalSubmitted      int
	Impossible             int // impossible jobs refused on submission
	Failed                 int // tasks reported as permanently failed; faults in a trace are too short to cause any
}

// Figures returns the results of the replay.
func (sim *Simulation) Figures() Figures {
	f := Figures{Evictions: sim.evictions, Impossible: sim.impossibleRefused, Failed: sim.failedTasks, CriticalBlockedSeconds: float64(sim.blockedSeconds)}
	last := sim.lastBatchSubmission()
	for _, t := range sim.tasks.All() {
		f.LostRunTime += t.lostProgress / float64(clock.Second)
		switch t.job.Class {
		case service.LatencyCritical:
			sim.addCriticalTask(&f, t)
		case service.Standing:
			sim.addStandingTask(&f, t)
		case service.Batch:
			if t.finishedAt < clock.Never {
				f.BatchTasksFinished++
				f.BatchRunSeconds += float64(t.runTime) / float64(clock.Second)
				if t.finishedAt < last {
					f.BatchRunSecondsInTime += float64(t.runTime) / float64(clock.Second)
				}
			}
		}
	}
	slices.Sort(f.CriticalWaits)
	slices.Sort(f.PeakWaits)
	return f
}

// lastBatchSubmission returns the instant of the last submission of a batch job.
// Until then demand exceeds the workers' capacity, so the work finished by then
// measures throughput.
func (sim *Simulation) lastBatchSubmission() clock.Millis {
	last := clock.Millis(0)
	for i := range sim.events {
		if j := sim.events[i].Job; j != nil && j.Class == service.Batch {
			last = sim.events[i].At
		}
	}
	return last
}

func (sim *Simulation) addCriticalTask(f *Figures, t *taskRow) {
	if t.cancelled {
		return
	}
	f.CriticalSubmitted++
	wait := float64(min(t.startedAt, sim.now).Sub(t.submittedAt))
	f.CriticalWaits = append(f.CriticalWaits, wait)
	if sim.header.InPeak(t.submittedAt) {
		f.PeakWaits = append(f.PeakWaits, wait)
	}
}

func (sim *Simulation) addStandingTask(f *Figures, t *taskRow) {
	gap, gaps := t.longestGap, t.gapCount
	if t.startedAt < clock.Never && t.runningAttempts == 0 && !t.cancelled {
		gap, gaps = max(gap, sim.now.Sub(t.lastStop)), gaps+1
	}
	f.MaxStandingGap = max(f.MaxStandingGap, gap)
	f.StandingGaps += gaps
}

// Samples returns the samples of the simulation, one per second.
func (sim *Simulation) Samples() []Sample { return sim.samples }

// Percentile returns the given percentile of the sorted values by the
// nearest-rank method, or NaN if there are no values.
func Percentile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	rank := int(math.Ceil(percent / 100 * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}
