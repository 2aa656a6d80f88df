package dispatch

import (
	"cmp"
	"math"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	fullPace unit.Percent = 100
	// interferenceHoldWait bounds the wait of a hold where tasks that fill run beside
	// tasks that serve. The figures are those of the last half second.
	interferenceHoldWait = 400 * clock.Millisecond
	// minPaceChange is the least change of a pace that is worth an order.
	minPaceChange unit.Percent = 10
	// targetTailRatio is the share of the bound that tasks which fill may raise the
	// tail latency to. The rest is for what the load of the serving tasks
	// changes before the next list.
	targetTailRatio = 0.7
	// maxPaceIncrease is how much a pace rises with each list at most.
	maxPaceIncrease unit.Percent = 25
	// maxHeadroomShare is the share of the room of a service up to which tasks that
	// fill are added beside it. A task that waits finds room elsewhere sooner
	// than one that stands still beside a service whose load has risen.
	maxHeadroomShare = 0.25
	// defaultHeadroomShare is the load of a service of which no figure is known yet.
	defaultHeadroomShare = 0.5
)

// servingTask is what is known of a serving task on an executor.
type servingTask struct {
	image      unit.Image
	headroom   float64 // load that tasks beside it may add
	overTarget bool    // its tail latency is over the bound
}

// updateInterference takes the figures of a list, learns from them, and decides the pace
// of the tasks that fill.
func (s *Shard) updateInterference(now clock.Millis, e *Executor, sample *interferenceSample) {
	s.trainModels(now, e, sample)
	e.servingTasks = e.servingTasks[:0]
	overTarget := false
	for _, tail := range sample.tails {
		model := s.interferenceModels[tail.image]
		ownLoad := model.loadAt(tail.latency)
		for image, usage := range sample.usage {
			ownLoad -= model.weight(image) * usage
		}
		serving := servingTask{image: tail.image, headroom: max(0, model.loadAt(targetTailRatio*tail.target)-max(0, ownLoad)), overTarget: tail.latency > tail.target}
		overTarget = overTarget || serving.overTarget
		e.servingTasks = append(e.servingTasks, serving)
	}
	switch {
	case !overTarget:
		e.overTargetSince = 0
	case e.overTargetSince == 0:
		e.overTargetSince = now
	}
	s.allocatePaces(now, e)
}

// trainModels learns from the changes since the last look that is old enough.
func (s *Shard) trainModels(now clock.Millis, e *Executor, sample *interferenceSample) {
	for _, tail := range sample.tails {
		model := s.interferenceModels[tail.image]
		if model == nil {
			if s.interferenceModels == nil {
				s.interferenceModels = make(map[unit.Image]*Pressure)
			}
			model = &Pressure{Least: tail.latency}
			s.interferenceModels[tail.image] = model
		}
		model.Least = min(model.Least, tail.latency)
	}
	gap := now.Sub(e.lastSample.at)
	if gap < minSampleGap {
		return
	}
	if gap <= maxSampleGap {
		usageChange := sample.usageSince(&e.lastSample)
		for id, tail := range sample.tails {
			if before, ok := e.lastSample.tails[id]; ok {
				model := s.interferenceModels[tail.image]
				model.addSample(usageChange, model.loadAt(tail.latency)-model.loadAt(before.latency))
				model.fit(now)
			}
		}
	}
	e.lastSample = *sample
}

// paceCandidate is a task that fills and what it does to the services beside it.
type paceCandidate struct {
	task          *Task
	loads         []float64 // that full pace adds, by service
	headroomShare float64   // the largest share of the room of a service
}

// allocatePaces divides the room of the services on e among the tasks that fill, those
// first that need the least of it.
func (s *Shard) allocatePaces(now clock.Millis, e *Executor) {
	overTooLong := e.overTargetSince > 0 && now.Sub(e.overTargetSince) > s.Limits.Interference/2
	var candidates []paceCandidate
	for id := range e.runs {
		_, st, t := s.findTask(id)
		if t == nil || !st.Fills || t.State != TaskRunning {
			continue
		}
		if overTooLong {
			t.targetPace = 0
			continue
		}
		candidates = append(candidates, s.newPaceCandidate(e, st, t))
	}
	slices.SortFunc(candidates, func(a, b paceCandidate) int { return cmp.Compare(a.headroomShare, b.headroomShare) })
	for _, candidate := range candidates {
		pace := 1.0
		for i := range e.servingTasks {
			if candidate.loads[i] > 0 {
				pace = min(pace, e.servingTasks[i].headroom/candidate.loads[i])
			}
		}
		percent := unit.Percent(pace * float64(fullPace))
		if percent < minPaceChange {
			percent = 0
		}
		candidate.task.targetPace = min(percent, candidate.task.orderedPace+maxPaceIncrease)
		for i := range e.servingTasks {
			e.servingTasks[i].headroom -= candidate.loads[i] * float64(candidate.task.targetPace) / float64(fullPace)
			e.servingTasks[i].headroom = max(0, e.servingTasks[i].headroom)
		}
	}
}

func (s *Shard) newPaceCandidate(e *Executor, st *Step, t *Task) paceCandidate {
	candidate := paceCandidate{task: t, loads: make([]float64, len(e.servingTasks))}
	for i := range e.servingTasks {
		serving := &e.servingTasks[i]
		if weight := s.interferenceModels[serving.image].weight(st.Image); weight >= minHarmfulWeight {
			candidate.loads[i] = weight * e.cpuFraction(st)
			candidate.headroomShare = max(candidate.headroomShare, candidate.loads[i]/max(serving.headroom, 1e-3))
		}
	}
	return candidate
}

// cpuFraction returns what a task of a step uses of e.
func (e *Executor) cpuFraction(st *Step) float64 {
	return float64(st.Size.CPU) / float64(max(1, e.Capacity.CPU))
}

// knownHarmless reports whether an image surely disturbs no service on e that is
// over its bound.
func (s *Shard) knownHarmless(e *Executor, image unit.Image) bool {
	for k := range e.servingTasks {
		if e.servingTasks[k].overTarget && !s.interferenceModels[e.servingTasks[k].image].knownHarmless(image) {
			return false
		}
	}
	return true
}

// sendPaces orders the share at which tasks that fill work.
func (s *Shard) sendPaces() {
	for _, e := range s.executors.All() {
		if e.bestEffortCPU == 0 || e.unresponsive {
			continue
		}
		for id := range e.runs {
			_, st, t := s.findTask(id)
			if t == nil || !st.Fills || t.State != TaskRunning {
				continue
			}
			target := t.targetPace
			if diff := target - t.orderedPace; diff == 0 || diff < minPaceChange && diff > -minPaceChange && target != 0 && target != fullPace {
				continue
			}
			t.orderedPace = target
			s.pendingOrders = append(s.pendingOrders, Order{To: e.target(), Pace: &PaceOrder{id, t.Run, target, s.token(e)}})
			s.report(Event{What: "paced", Task: id, Run: t.Run, Executor: e.Executor})
		}
	}
}

// admits reports whether a task of a step may be added to e. A perpetual task
// that ran before is started again wherever there is room, and so is the first
// task of a starved job.
func (s *Shard) admits(e *Executor, st *Step, pool *executorPool, ranBefore, starved bool) bool {
	switch {
	case starved && (e.overTargetSince == 0 || !st.Fills):
		return true
	case st.Perpetual:
		return ranBefore || pool.allowsPerpetual(e)
	case !st.Fills || e.servingCount == 0:
		return true
	case e.overTargetSince > 0 && !s.knownHarmless(e, st.Image):
		return false
	}
	return s.headroomShare(e, st) <= maxHeadroomShare
}

// headroomShare returns the largest share of the room of a service on e that a task
// of a step would take beside those placed there.
func (s *Shard) headroomShare(e *Executor, st *Step) float64 {
	share := 0.0
	for i := range e.servingTasks {
		serving := &e.servingTasks[i]
		weight := s.interferenceModels[serving.image].weight(st.Image)
		if weight < minHarmfulWeight {
			continue
		}
		load := weight*e.cpuFraction(st) + s.pendingLoad(e, serving.image)
		share = max(share, load/math.Max(serving.headroom, 1e-3))
	}
	if len(e.servingTasks) == 0 && e.servingCount > 0 {
		share = defaultHeadroomShare
	}
	return share
}

// pendingLoad returns the load that tasks on e will add to a service and that the
// last list did not show: of tasks that are starting or paced.
func (s *Shard) pendingLoad(e *Executor, servingImage unit.Image) float64 {
	load := 0.0
	for id := range e.runs {
		_, st, t := s.findTask(id)
		if t == nil || !st.Fills {
			continue
		}
		pending := 1 - float64(t.targetPace)/float64(fullPace)
		if t.State != TaskRunning {
			pending = 1
		}
		if weight := s.interferenceModels[servingImage].weight(st.Image); weight >= minHarmfulWeight && pending > 0 {
			load += pending * weight * e.cpuFraction(st)
		}
	}
	return load
}
