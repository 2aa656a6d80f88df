package dispatch

import (
	"cmp"
	"math"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/estimate"
	"mimosadock/schedule/unit"
)

const (
	// minRunTimeSamples is the number of runs of a kind from which their ratio of
	// actual to estimated run time is used.
	minRunTimeSamples = 5
	// initialVariation is the standard deviation of run times as a share of the
	// estimate while the actual one is not known.
	initialVariation = 0.5
	// maxVariation bounds the standard deviation of run times as a share of their mean,
	// against estimates that are off by many orders.
	maxVariation = 2.0
	// minRateProgress is the progress, in percent, from which the rate of a run
	// tells more about its remaining time than the estimate does.
	minRateProgress = 20
	// maxRunKinds bounds the kinds whose run times are learned. Callers name images.
	maxRunKinds = 1000
	// rateVariation is the standard deviation of a run time that is extrapolated
	// from the progress, as a share of it.
	rateVariation = 0.15
)

// runKind identifies runs whose estimates are off alike.
type runKind struct {
	queue unit.Queue
	image unit.Image
}

// runTimeTable has, for each kind of runs, the logarithm of the ratio of their
// actual to their estimated run time. The owner learns it anew after a takeover.
type runTimeTable map[runKind]*estimate.Moments

// add adds the run time of a run with an estimate.
func (r runTimeTable) add(kind runKind, estimated, actual clock.Span) {
	m := r[kind]
	if m == nil {
		if len(r) >= maxRunKinds {
			return
		}
		m = new(estimate.Moments)
		r[kind] = m
	}
	m.Add(math.Log(float64(max(actual, 1)) / float64(estimated)))
}

// ratio returns the expected ratio of actual to estimated run time of a kind, and
// the standard deviation of run times as a share of their mean.
func (r runTimeTable) ratio(kind runKind) (mean, variation float64) {
	m := r[kind]
	if m == nil || m.N < minRunTimeSamples {
		return 1, initialVariation
	}
	variance := min(m.StdDev()*m.StdDev(), math.Log1p(maxVariation*maxVariation))
	return math.Exp(m.Mean + variance/2), min(math.Sqrt(math.Expm1(variance)), maxVariation)
}

// recordRunTime learns from a run that is done. It ignores runs that did not start
// under this owner or that may have continued from a checkpoint, and those of groups,
// whose factor depends on where the others ran.
func (s *Shard) recordRunTime(now clock.Millis, j *Job, st *Step, t *Task, e *Executor) {
	if s.Limits.RemoteFactor <= 1 || st.SameRack || st.Estimate <= 0 || t.State != TaskRunning || t.Run != 1 || t.lastActionAt == 0 {
		return
	}
	actual := now.Sub(t.runningSince)
	if st.isRemote(e) {
		actual = clock.Span(float64(actual) / s.Limits.RemoteFactor)
	}
	if s.runTimes == nil {
		s.runTimes = make(runTimeTable)
	}
	s.runTimes.add(runKind{j.Queue, st.Image}, st.Estimate, actual)
}

// isRemote reports whether e is not on the rack of the data of the step.
func (st *Step) isRemote(e *Executor) bool {
	return st.Near != "" && !e.hasLabel(unit.Label(st.Near))
}

// expectedRunTime returns the expected run time of a task of a step on its rack, and
// its standard deviation as a share of it.
func (s *Shard) expectedRunTime(j *Job, st *Step) (clock.Span, float64) {
	ratio, variation := s.runTimes.ratio(runKind{j.Queue, st.Image})
	return clock.Span(min(max(ratio*float64(st.Estimate), 1), float64(maxSpan))), variation
}

// updateProgress records the progress that a run list reports.
func (t *Task) updateProgress(now clock.Millis, progress unit.Percent) {
	if t.firstProgressAt == 0 {
		t.firstProgress, t.firstProgressAt = progress, now
	}
	if progress != t.progress {
		t.progress, t.progressChangedAt = progress, now
	}
}

// remainingTime returns the expected time until a run on e ends, and its standard
// deviation. The rate of its progress counts once it is known, and the estimate
// before. A run that should have ended is expected to take as long again as its
// deviation.
func (s *Shard) remainingTime(now clock.Millis, j *Job, st *Step, t *Task, e *Executor) (mean, deviation clock.Span) {
	total, variation := s.expectedRunTime(j, st)
	if st.isRemote(e) {
		total = clock.Span(s.Limits.RemoteFactor * float64(total))
	}
	if t.State != TaskRunning {
		return total, clock.Span(variation * float64(total))
	}
	deviation = clock.Span(variation * float64(total))
	end := t.runningSince.Add(total)
	if done := t.progress - t.firstProgress; t.progressChangedAt > t.firstProgressAt && done >= minRateProgress {
		left := float64(t.progressChangedAt.Sub(t.firstProgressAt)) * float64(fullPace-t.progress) / float64(done)
		end, deviation = t.progressChangedAt.Add(clock.Span(left)), clock.Span(rateVariation*left)
	}
	return max(end.Sub(now), deviation/2, 1), deviation
}

// rackForecast is what is expected to become free on the executors of a rack. Room
// that is promised to a task is taken out of it.
type rackForecast []executorForecast

// executorForecast is the forecast for one executor.
type executorForecast struct {
	executor *Executor
	from     clock.Millis   // room before is promised
	free     unit.Resources // at from
	ends     []expectedEnd  // after from, in the order of time
}

// expectedEnd is the expected end of a run.
type expectedEnd struct {
	at        clock.Millis
	deviation clock.Span
	demand    unit.Resources
}

// promise is room on an executor that is expected for a task.
type promise struct {
	executor  *Executor
	at        clock.Millis
	deviation clock.Span
}

// forecast returns the forecast for executors. Runs of perpetual tasks have no end.
func (s *Shard) forecast(now clock.Millis, executors []*Executor) rackForecast {
	f := make(rackForecast, 0, len(executors))
	for _, e := range executors {
		x := executorForecast{executor: e, from: now, free: e.Capacity.Sub(e.allocated)}
		x.free.CPU -= e.overdueCPU
		for i := range e.runs {
			a := &e.runs[i]
			if a.step.Perpetual || !a.isCurrent() {
				continue
			}
			left, deviation := s.remainingTime(now, a.job, a.step, a.task, e)
			x.ends = append(x.ends, expectedEnd{now.Add(left), deviation, a.step.demand()})
		}
		slices.SortStableFunc(x.ends, func(a, b expectedEnd) int { return cmp.Compare(a.at, b.at) })
		f = append(f, x)
	}
	return f
}

// clone returns a copy of f. Promises made with the one don't show in the other.
func (f rackForecast) clone() rackForecast {
	c := slices.Clone(f)
	for i := range c {
		c[i].ends = slices.Clone(c[i].ends)
	}
	return c
}

// earliest returns the earliest room for a demand on the executors that admit
// allows. It returns false if none is expected.
func (f rackForecast) earliest(demand unit.Resources, admit func(*Executor) bool) (promise, bool) {
	var first promise
	found := false
	for i := range f {
		p, ok := f[i].earliest(demand)
		if ok && (!found || p.at < first.at) && admit(f[i].executor) {
			first, found = p, true
		}
	}
	return first, found
}

// earliest returns the earliest room for a demand on the executor.
func (x *executorForecast) earliest(demand unit.Resources) (promise, bool) {
	p, free := promise{executor: x.executor, at: x.from}, x.free
	for i := 0; !demand.Fits(free); i++ {
		if i == len(x.ends) {
			return p, false
		}
		free = free.Add(x.ends[i].demand)
		p.at, p.deviation = x.ends[i].at, x.ends[i].deviation
	}
	return p, true
}

// reserve takes promised room out of the forecast. The task is expected to run there
// for a span.
func (f rackForecast) reserve(p promise, demand unit.Resources, span, deviation clock.Span) {
	i := slices.IndexFunc(f, func(x executorForecast) bool { return x.executor == p.executor })
	x := &f[i]
	for len(x.ends) > 0 && x.ends[0].at <= p.at {
		x.free = x.free.Add(x.ends[0].demand)
		x.ends = x.ends[1:]
	}
	x.from = p.at
	x.take(expectedEnd{p.at.Add(span), deviation, demand})
}

// take takes room for a run with an expected end.
func (x *executorForecast) take(end expectedEnd) {
	x.free = x.free.Sub(end.demand)
	at, _ := slices.BinarySearchFunc(x.ends, end.at, func(e expectedEnd, t clock.Millis) int { return cmp.Compare(e.at, t) })
	x.ends = slices.Insert(x.ends, at, end)
}

// waitError has the logarithm of the ratio of the actual to the expected length of
// waits that got room. Runs that take longer than estimated, other tasks that take the
// room and the time until an end is known make it differ. The zero value is ready to
// use.
type waitError struct{ log estimate.Moments }

const (
	// initialWaits is the number of waits as long as expected that the error starts
	// from.
	initialWaits = 5
	// minWait is the shortest length of a wait in a ratio. A wait is as long as a few
	// placements at least.
	minWait = 50 * clock.Millisecond
	// maxWaitRatio bounds the correction of an expected wait.
	maxWaitRatio = 8.0
)

// add adds a wait.
func (w *waitError) add(expected, actual clock.Span) {
	w.log.Add(math.Log(float64(max(actual, minWait)) / float64(max(expected, minWait))))
}

// correct returns the expected length of a wait and its deviation, with the error of
// earlier ones.
func (w *waitError) correct(expected, deviation clock.Span) (clock.Span, clock.Span) {
	n := float64(w.log.N)
	ratio := math.Exp(w.log.Mean * n / (n + initialWaits))
	ratio = min(max(ratio, 1), maxWaitRatio)
	return clock.Span(ratio * float64(expected)), clock.Span(ratio * float64(deviation))
}
