package work

import (
	"math"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
)

// Figures is what a replay of jobs shows.
type Figures struct {
	UrgentStarts    []float64 // ms from submission to start, in order; tasks that never started count to the end
	PeakStarts      []float64 // of those submitted at the peak
	BatchFinished   int
	BatchInTime     float64 // s of true run time of batch tasks finished before the last submission
	BatchDone       float64 // s of true run time of finished batch tasks
	Evictions       int
	Lost            float64 // s of run time that had to be done again
	StandingGapMax  clock.Span
	StandingGaps    int
	UrgentBlocked   float64 // s in which urgent work waited too long while batch ran
	UrgentSubmitted int
	Impossible      int // impossible jobs refused at once
	Failed          int // tasks reported as failed for good; none fails in a trace for long
}

// Figures sums up the replay.
func (w *World) Figures() Figures {
	f := Figures{Evictions: w.evictions, Impossible: w.impossible, Failed: w.failed, UrgentBlocked: float64(w.blocked)}
	last := w.lastBatch()
	for _, t := range w.tasks.All() {
		f.Lost += t.lost / float64(clock.Second)
		switch t.job.Class {
		case service.LatencyCritical:
			w.addUrgent(&f, t)
		case service.Standing:
			w.addStanding(&f, t)
		case service.Batch:
			if t.finished < clock.Never {
				f.BatchFinished++
				f.BatchDone += float64(t.run) / float64(clock.Second)
				if t.finished < last {
					f.BatchInTime += float64(t.run) / float64(clock.Second)
				}
			}
		}
	}
	slices.Sort(f.UrgentStarts)
	slices.Sort(f.PeakStarts)
	return f
}

// lastBatch returns the instant of the last submission of batch work. Until
// then the workers are short, so that what is finished by then is throughput.
func (w *World) lastBatch() clock.Millis {
	last := clock.Millis(0)
	for i := range w.events {
		if j := w.events[i].Job; j != nil && j.Class == service.Batch {
			last = w.events[i].At
		}
	}
	return last
}

func (w *World) addUrgent(f *Figures, t *taskRow) {
	if t.cancelled {
		return
	}
	f.UrgentSubmitted++
	wait := float64(min(t.started, w.now).Sub(t.submitted))
	f.UrgentStarts = append(f.UrgentStarts, wait)
	if w.header.InPeak(t.submitted) {
		f.PeakStarts = append(f.PeakStarts, wait)
	}
}

func (w *World) addStanding(f *Figures, t *taskRow) {
	gap, gaps := t.gap, t.gaps
	if t.started < clock.Never && t.running == 0 && !t.cancelled {
		gap, gaps = max(gap, w.now.Sub(t.stopped)), gaps+1
	}
	f.StandingGapMax = max(f.StandingGapMax, gap)
	f.StandingGaps += gaps
}

// Samples returns the state of the world once a second.
func (w *World) Samples() []Sample { return w.samples }

// Percentile returns the value below which the given percentage of the sorted
// values lies, by the nearest-rank method. It is NaN if there are none.
func Percentile(sorted []float64, percent float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	rank := int(math.Ceil(percent / 100 * float64(len(sorted))))
	return sorted[min(max(rank, 1), len(sorted))-1]
}
