package dispatch

import (
	"math"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// initialBatchShare is the share of the processors of a service that perpetual
	// tasks leave free for batch tasks until the demand of batch tasks is known.
	initialBatchShare = 0.08
	// maxBatchShare is the largest share of the processors that is kept free for
	// batch tasks, whatever they need.
	maxBatchShare = 0.1
	// demandPeriod is the time after which the demand is taken to be known.
	demandPeriod = 20 * clock.Second
	// demandTimeConstant is the time constant of the average of the offered work, a
	// few times the time of a task: shorter peaks are served by a short wait.
	demandTimeConstant = 2 * clock.Second
	// peakHalfLife is the time in which the recorded peak falls by half. Perpetual
	// tasks stay for minutes, so that room which they take between two crests is
	// missing at the next one.
	peakHalfLife = clock.Minute
	// heldSamples is the number of runs over which heldRatio is averaged.
	heldSamples = 200
	// maxHeldRatio bounds heldRatio against estimates that are far off.
	maxHeldRatio = 3
)

// batchDemand forecasts how many processors of a service the batch tasks need that
// reserve theirs, from the work that callers hand in, whether it has room or not. It
// answers a load of urgent jobs that swings while perpetual tasks take all other room:
// an average of what runs would follow the room that they leave. The zero value is
// ready to use. It is not stored: a new owner begins with initialBatchShare.
type batchDemand struct {
	since     clock.Millis // first update
	updatedAt clock.Millis
	offered   float64 // work handed in since updatedAt, in thousandths of a core times ms
	level     float64 // offered work in a ms, smoothed
	peak      float64 // largest level, which decays
	heldRatio float64 // time for which runs hold their room, in estimates, averaged; 0 if not known
	taskSize  float64 // of a task, in thousandths of a core, averaged by work
}

// offer adds the tasks of a step that was handed in.
func (d *batchDemand) offer(step *Step) {
	work := float64(step.Count) * float64(step.Size.CPU) * float64(step.Estimate)
	d.offered += work
	if work > 0 {
		d.taskSize += (float64(step.Size.CPU) - d.taskSize) * min(1, work/(work+d.level*float64(peakHalfLife)))
	}
}

// hold records that a run with an estimate held its room for span.
func (d *batchDemand) hold(span, estimate clock.Span) {
	if estimate <= 0 {
		return
	}
	ratio := min(maxHeldRatio, float64(span)/float64(estimate))
	if d.heldRatio == 0 {
		d.heldRatio = ratio
	}
	d.heldRatio += (ratio - d.heldRatio) / heldSamples
}

// update brings the level up to now.
func (d *batchDemand) update(now clock.Millis) {
	if d.since == 0 {
		d.since, d.updatedAt = now, now
	}
	elapsed := float64(now.Sub(d.updatedAt))
	if elapsed <= 0 {
		return
	}
	d.level += (d.offered/elapsed - d.level) * (1 - math.Exp(-elapsed/float64(demandTimeConstant)))
	d.peak = max(d.level, d.peak*math.Exp2(-elapsed/float64(peakHalfLife)))
	d.offered, d.updatedAt = 0, now
}

// limitTo bounds the level and its peak to the processors of the service. A single job
// may offer many orders of magnitude more, which would take hours to fall back.
func (d *batchDemand) limitTo(total unit.MilliCPU) {
	d.level, d.peak = min(d.level, float64(total)), min(d.peak, float64(total))
}

// need returns the processor time that batch tasks are forecast to hold at the crest
// of the load.
func (d *batchDemand) need() unit.MilliCPU { return unit.MilliCPU(d.peak * max(1, d.heldRatio)) }

// size returns the processor time to keep free of perpetual tasks, out of total, on
// executors with the given mean capacity. It counts what a task of average size can't
// use of an executor.
func (d *batchDemand) size(now clock.Millis, total, capacity unit.MilliCPU) unit.MilliCPU {
	need := float64(d.need())
	if d.taskSize > 0 && d.taskSize <= float64(capacity) {
		need *= float64(capacity) / (d.taskSize * math.Floor(float64(capacity)/d.taskSize))
	}
	if now < d.since.Add(demandPeriod) {
		need = max(need, initialBatchShare*float64(total))
	}
	return unit.MilliCPU(min(need, maxBatchShare*float64(total)))
}

// batchDemandOf returns the demand of batch tasks of a service.
func (s *Shard) batchDemandOf(service unit.Service) *batchDemand {
	if s.batchDemands == nil {
		s.batchDemands = make(map[unit.Service]*batchDemand)
	}
	d := s.batchDemands[service]
	if d == nil {
		d = new(batchDemand)
		s.batchDemands[service] = d
	}
	return d
}

// offerOccurrence adds the tasks of an occurrence of a job to the demand.
func (s *Shard) offerOccurrence(j *Job) {
	for i := range j.Spec.Steps {
		if step := &j.Spec.Steps[i]; !step.Perpetual && !step.Fills {
			s.batchDemandOf(s.queue(j).Service).offer(step)
		}
	}
}

// recordHeld adds a run that succeeded to the demand.
func (s *Shard) recordHeld(now clock.Millis, j *Job, step *Step, t *Task) {
	if !step.Perpetual && !step.Fills && t.times.assignedAt > 0 {
		s.batchDemandOf(s.queue(j).Service).hold(now.Sub(t.times.assignedAt), step.Estimate)
	}
}
