package dispatch

import (
	"maps"
	"math"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// speedTimeConstant is the time constant of the average of a speed.
	speedTimeConstant = clock.Second
	// minMeasuredTime is the sum of the times of runs, averaged as the speed, from
	// which a speed is known. Estimates of single tasks may be off by a factor of two.
	minMeasuredTime = 1500 * clock.Millisecond
	// minMeasuredJobs is the number of jobs with a run in one list from which a speed is
	// known. The tasks of a job may all take several times their estimate.
	minMeasuredJobs = 3
	// slowSpeed is the share of the mean speed of the service below which an executor is
	// slow. Tasks take over twice as long there.
	slowSpeed = 0.4
	// maxMeasuredEstimate is the estimate of a run up to which its progress counts. The
	// progress of longer ones, in whole percents, stands still for too long.
	maxMeasuredEstimate = 20 * clock.Second
	// maxSlowShare is the share of the executors of a service that may be suspect as
	// slow at a time, but for one. The others keep room if the speeds are wrong.
	maxSlowShare = 0.25
	// maxSpeedKinds bounds the kinds whose speeds are kept. Callers name images.
	maxSpeedKinds = 1000
	// speedDelay is the time after its start from which the progress of a run counts.
	speedDelay = 300 * clock.Millisecond
)

// speedMeter measures how much work, by the estimates, batch runs get done in a time.
// The zero value has no samples. It is not stored: a new owner measures anew.
type speedMeter struct {
	work, time float64 // decayed sums, in ms
	usual      float64 // decayed work at the mean speed of each kind in the service, in ms
	updatedAt  clock.Millis
	jobs       []unit.Job // with runs in the sums since updatedAt
}

// add adds the work that a run of a job did in span. usual is the work at the mean
// speed of its kind.
func (m *speedMeter) add(now clock.Millis, job unit.Job, work, span clock.Span, usual float64) {
	if now > m.updatedAt {
		m.jobs = m.jobs[:0]
	}
	if len(m.jobs) < minMeasuredJobs && !slices.Contains(m.jobs, job) {
		m.jobs = append(m.jobs, job)
	}
	decay := math.Exp(-float64(now.Sub(m.updatedAt)) / float64(speedTimeConstant))
	m.work, m.time, m.usual, m.updatedAt = m.work*decay+float64(work), m.time*decay+float64(span), m.usual*decay+usual, now
}

// share returns the speed as a share of the usual one, or 1 if it is not known.
func (m *speedMeter) share() float64 {
	if len(m.jobs) < minMeasuredJobs || m.time < float64(minMeasuredTime) || m.usual <= 0 {
		return 1
	}
	return m.work / m.usual
}

// speedKind identifies runs of a service whose estimates are off alike.
type speedKind struct {
	service unit.Service
	runKind
}

// speedOf returns the meter of a kind, or nil if there are too many. Those without
// a recent sample make room.
func (s *Shard) speedOf(now clock.Millis, kind speedKind) *speedMeter {
	if m := s.speeds[kind]; m != nil {
		return m
	}
	if s.speeds == nil {
		s.speeds = make(map[speedKind]*speedMeter)
	}
	if len(s.speeds) >= maxSpeedKinds {
		maps.DeleteFunc(s.speeds, func(_ speedKind, m *speedMeter) bool { return now.Sub(m.updatedAt) > maxSpeedAge })
	}
	if len(s.speeds) >= maxSpeedKinds {
		return nil
	}
	m := new(speedMeter)
	s.speeds[kind] = m
	return m
}

// tellsSpeed reports whether the progress of the runs of a step on e depends on the
// speed of e. Away from the rack of their data or group, they take several times as
// long.
func (s *Step) tellsSpeed(e *Executor) bool {
	return !s.Perpetual && !s.Gang && !s.SameRack && !s.isRemote(e) && s.Estimate > 0 && s.Estimate <= maxMeasuredEstimate
}

// measureSpeed takes the progress of a run on e that a list reports. For best-effort
// runs, only the share of the time counts in which they had the processor time that
// they requested: others may need it, and a former owner may have ordered a lower pace.
func (s *Shard) measureSpeed(now clock.Millis, e *Executor, j *Job, step *Step, t *Task, r *RunningRun) {
	done, at := r.Progress-t.progress, t.listedAt
	t.listedAt = now
	from := t.runningSince.Add(speedDelay)
	if t.Checkpoint != "" {
		from = from.Add(s.Limits.CheckpointRestore)
	}
	if !step.tellsSpeed(e) || t.State != TaskRunning || at < from || done < 0 {
		return
	}
	work, span := step.Estimate*clock.Span(done)/clock.Span(fullPace), now.Sub(at)
	if step.Fills {
		span = clock.Span(float64(span) * min(1, float64(r.Measurement)/float64(max(1, step.Size.CPU))))
	}
	mean := s.speedOf(now, speedKind{e.Service, runKind{j.Queue, step.Image}})
	if mean == nil || span <= 0 {
		return
	}
	mean.add(now, r.Task.Job, work, span, 0)
	e.speed.add(now, r.Task.Job, work, span, mean.work/mean.time*float64(span))
}

// maxSpeedAge is the age of the last sample from which a speed is unknown.
const maxSpeedAge = 2 * clock.Second

// speedShare returns the speed of e as a share of the mean of its service if e is slow,
// and 1 otherwise.
func (s *Shard) speedShare(now clock.Millis, e *Executor) float64 {
	if now.Sub(e.speed.updatedAt) > maxSpeedAge {
		return 1
	}
	if share := e.speed.share(); share < slowSpeed {
		return share
	}
	return 1
}

// avoidSlow gives an executor no new runs for a time if its runs make much less
// progress than those of the service. It answers executors that turn slow and still
// answer: a run there takes several times its estimate, and its job misses its
// objective. After the time new runs show whether it still is slow.
func (s *Shard) avoidSlow(now clock.Millis, e *Executor) {
	if now < e.suspectUntil || s.speedShare(now, e) == 1 || !s.mayAvoidSlow(now, e.Service) {
		return
	}
	e.suspectUntil = now.Add(suspectPeriod)
	e.slowUntil = e.suspectUntil
	s.report(Event{Kind: "executorSuspect", Executor: e.Executor, Reason: "runs are slow"})
}

// mayAvoidSlow reports whether one more executor of a service may be suspect as slow.
func (s *Shard) mayAvoidSlow(now clock.Millis, service unit.Service) bool {
	slow, executors := 0, 0
	for _, e := range s.executors.All() {
		switch {
		case e.Service != service:
		case now < e.slowUntil:
			slow++
			executors++
		case s.accepts(now, e):
			executors++
		}
	}
	return slow == 0 || float64(slow+1) <= maxSlowShare*float64(executors)
}
