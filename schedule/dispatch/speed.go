package dispatch

import (
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
	// speedDelay is the time after its start from which the progress of a run counts.
	speedDelay = 300 * clock.Millisecond
)

// speedMeter measures how much work, by the estimates, batch runs get done in a time.
// The zero value has no samples. It is not stored: a new owner measures anew.
type speedMeter struct {
	work, time float64 // decayed sums, in ms
	updatedAt  clock.Millis
	jobs       []unit.Job // with runs in the sums since updatedAt
}

// add adds the work that a run of a job did in span.
func (m *speedMeter) add(now clock.Millis, job unit.Job, work, span clock.Span) {
	if now > m.updatedAt {
		m.jobs = m.jobs[:0]
	}
	if len(m.jobs) < minMeasuredJobs && !slices.Contains(m.jobs, job) {
		m.jobs = append(m.jobs, job)
	}
	decay := math.Exp(-float64(now.Sub(m.updatedAt)) / float64(speedTimeConstant))
	m.work, m.time, m.updatedAt = m.work*decay+float64(work), m.time*decay+float64(span), now
}

// share returns the speed as a share of that of other, or 1 if one of them is not
// known. Estimates that are off for all tasks cancel.
func (m *speedMeter) share(other *speedMeter) float64 {
	if len(m.jobs) < minMeasuredJobs || m.time < float64(minMeasuredTime) || other.time <= m.time || other.work == 0 {
		return 1
	}
	return m.work / m.time / (other.work / other.time)
}

// measureSpeed takes the progress of a run on e that a list reports. For best-effort
// runs, only the share of the time counts in which they had the processor time that
// they requested: others may need it, and a former owner may have ordered a lower pace.
func (s *Shard) measureSpeed(now clock.Millis, e *Executor, step *Step, t *Task, r *RunningRun) {
	done, at := r.Progress-t.progress, t.listedAt
	t.listedAt = now
	from := t.runningSince.Add(speedDelay)
	if t.Checkpoint != "" {
		from = from.Add(s.Limits.CheckpointRestore)
	}
	if step.Perpetual || step.Gang || t.State != TaskRunning || at < from || done < 0 {
		return
	}
	work, span := step.Estimate*clock.Span(done)/clock.Span(fullPace), now.Sub(at)
	if step.Fills {
		span = clock.Span(float64(span) * min(1, float64(r.Measurement)/float64(max(1, step.Size.CPU))))
	}
	e.speed.add(now, r.Task.Job, work, span)
	if s.speeds == nil {
		s.speeds = make(map[unit.Service]*speedMeter)
	}
	if s.speeds[e.Service] == nil {
		s.speeds[e.Service] = new(speedMeter)
	}
	s.speeds[e.Service].add(now, r.Task.Job, work, span)
}

// maxSpeedAge is the age of the last sample from which a speed is unknown.
const maxSpeedAge = 2 * clock.Second

// speedShare returns the speed of e as a share of the mean of its service if e is slow,
// and 1 otherwise.
func (s *Shard) speedShare(now clock.Millis, e *Executor) float64 {
	mean := s.speeds[e.Service]
	if mean == nil || now.Sub(e.speed.updatedAt) > maxSpeedAge {
		return 1
	}
	if share := e.speed.share(mean); share < slowSpeed {
		return share
	}
	return 1
}

// avoidSlow gives an executor no new runs for a time if its runs make much less
// progress than those of the service. It answers executors that turn slow and still
// answer: a run there takes several times its estimate, and its job misses its
// objective. After the time new runs show whether it still is slow.
func (s *Shard) avoidSlow(now clock.Millis, e *Executor) {
	if now < e.suspectUntil || s.speedShare(now, e) == 1 {
		return
	}
	e.suspectUntil = now.Add(suspectPeriod)
	s.report(Event{Kind: "executorSuspect", Executor: e.Executor, Reason: "runs are slow"})
}
