package dispatch

import (
	"cmp"
	"math"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// fullPace lets a run use all processor time that it requested.
	fullPace unit.Percent = 100
	// interferenceHoldWait bounds the wait of a hold where best-effort tasks
	// run beside serving tasks. The measurements cover the last half second.
	interferenceHoldWait = 400 * clock.Millisecond
	// minPaceChange is the smallest change of a pace that is ordered, and the
	// smallest pace above 0. A change to 0 or to full pace is always ordered.
	minPaceChange unit.Percent = 10
	// targetTailRatio is the ratio of the target up to which best-effort tasks
	// may raise the tail latency. The rest allows for changes in the load of
	// the serving tasks before the next run list.
	targetTailRatio = 0.7
	// recoveredTailRatio is the ratio of the target from which a serving task that has
	// exceeded its target counts as below it again. The measurements are rough: near
	// the target, one of them alone shows nothing.
	recoveredTailRatio = 0.9
	// maxPaceIncrease is the largest increase of a pace with one run list.
	maxPaceIncrease unit.Percent = 25
	// maxHeadroomShare is the largest share of the headroom of a serving task
	// that best-effort tasks may take when one is added beside it. A task that
	// waits finds capacity elsewhere sooner than one that is paused beside a
	// serving task whose load has risen.
	maxHeadroomShare = 0.25
	// defaultHeadroomShare is the headroom share on an executor whose serving
	// tasks have no measurement yet.
	defaultHeadroomShare = 0.5
)

// servingTask is the state of the serving tasks of one image on an executor, from the
// last run list: that of the one with the least headroom. The images without a model
// share one, as best-effort tasks are taken to add the same load to all of them.
type servingTask struct {
	model      *InterferenceModel // nil for the images without one
	usage      float64            // load that the best-effort tasks add by the last run list
	headroom   float64            // load that best-effort tasks beside it may add
	pending    float64            // load that best-effort tasks there will add, see Executor.updatePending
	overTarget bool               // a tail latency exceeds its target
}

// updateInterference trains the models with the measurements of a run list,
// updates the serving tasks of e and sets the target paces of its best-effort
// tasks.
func (s *Shard) updateInterference(now clock.Millis, e *Executor, sample *interferenceSample) {
	s.trainModels(now, e, sample)
	e.servingTasks = e.servingTasks[:0]
	overTarget, recovered := false, true
	for _, tail := range sample.tailLatencies {
		model := s.interferenceModels[tail.image]
		serving := e.servingTaskOf(model, sample)
		if model == nil {
			model = &InterferenceModel{Least: tail.latency}
		}
		ownLoad := model.loadAt(tail.latency) - serving.usage
		serving.headroom = min(serving.headroom, max(0, model.loadAt(targetTailRatio*tail.target)-max(0, ownLoad)))
		serving.overTarget = serving.overTarget || tail.latency > tail.target
		overTarget = overTarget || serving.overTarget
		recovered = recovered && tail.latency <= recoveredTailRatio*tail.target
	}
	switch {
	case recovered:
		e.overTargetSince = 0
	case overTarget && e.overTargetSince == 0:
		e.overTargetSince = now
	}
	s.allocatePaces(now, e)
}

// servingTaskOf returns the state of the serving tasks on e with a model. It adds it
// with all of the load as headroom if there is none.
func (e *Executor) servingTaskOf(model *InterferenceModel, sample *interferenceSample) *servingTask {
	for i := range e.servingTasks {
		if e.servingTasks[i].model == model {
			return &e.servingTasks[i]
		}
	}
	serving := servingTask{model: model, headroom: 1}
	for image, usage := range sample.usage {
		serving.usage += model.weight(image) * usage
	}
	e.servingTasks = append(e.servingTasks, serving)
	return &e.servingTasks[len(e.servingTasks)-1]
}

// trainModels trains the models of the serving images with the changes since
// the last sample. Samples that are too close are skipped; those too far apart
// only replace the last one. Images without a model, see [Shard.addModel], are left
// out.
func (s *Shard) trainModels(now clock.Millis, e *Executor, sample *interferenceSample) {
	for _, tail := range sample.tailLatencies {
		model := s.interferenceModels[tail.image]
		if model == nil {
			model = s.addModel(now, tail.image, tail.latency)
		}
		if model != nil {
			model.Least, model.sampledAt = min(model.Least, tail.latency), now
		}
	}
	gap := now.Sub(e.lastSample.at)
	if gap < minSampleGap {
		return
	}
	if gap <= maxSampleGap {
		usageChange := sample.usageSince(&e.lastSample)
		for image, change := range s.loadChanges(&e.lastSample, sample) {
			model := s.interferenceModels[image]
			model.addSample(usageChange, change.load, change.tasks)
			if model.fit(now) {
				s.markBeside(image)
			}
		}
	}
	e.lastSample = *sample
}

// loadChange is the change of the load of serving tasks of one image between two
// samples.
type loadChange struct {
	load  float64 // sum of the changes
	tasks int     // that are in both samples
}

// loadChanges returns the changes from before to sample by image, without the images
// that have no model.
func (s *Shard) loadChanges(before, sample *interferenceSample) map[unit.Image]loadChange {
	changes := make(map[unit.Image]loadChange)
	for id, tail := range sample.tailLatencies {
		model := s.interferenceModels[tail.image]
		last, ok := before.tailLatencies[id]
		if model == nil || !ok {
			continue
		}
		change := changes[tail.image]
		change.load += model.loadAt(tail.latency) - model.loadAt(last.latency)
		change.tasks++
		changes[tail.image] = change
	}
	return changes
}

// addModel adds the model of a serving image with its first measured tail latency.
// If there are maxModels, it replaces the one without a sample for the longest time,
// provided that it has had none for modelRetention. It returns nil if all models are
// in use: images that take turns would otherwise lose what was learned with each
// sample, and the sample of one executor can have more images than there are models.
func (s *Shard) addModel(now clock.Millis, image unit.Image, latency float64) *InterferenceModel {
	if s.interferenceModels == nil {
		s.interferenceModels = make(map[unit.Image]*InterferenceModel)
	}
	if len(s.interferenceModels) >= maxModels {
		var oldest unit.Image
		for i, m := range s.interferenceModels {
			if o := s.interferenceModels[oldest]; o == nil || m.sampledAt < o.sampledAt || m.sampledAt == o.sampledAt && i < oldest {
				oldest = i
			}
		}
		if now < s.interferenceModels[oldest].sampledAt.Add(modelRetention) {
			return nil
		}
		delete(s.interferenceModels, oldest)
	}
	model := &InterferenceModel{Least: latency}
	s.interferenceModels[image] = model
	return model
}

// markBeside records that executors with serving tasks of an image may be able to
// take more best-effort tasks than before.
func (s *Shard) markBeside(image unit.Image) {
	for _, e := range s.executors.All() {
		if e.servingImages[image] > 0 {
			e.bestEffortLoadsKnown = false
			s.markAvailable(e)
		}
	}
}

// paceCandidate is a best-effort task and the load that it adds to the serving
// tasks on its executor.
type paceCandidate struct {
	task          *Task
	loads         []float64 // added at full pace, by serving task
	headroomShare float64   // largest share of the headroom of a serving task that full pace takes
}

// allocatePaces divides the headroom of the serving tasks on e among the
// best-effort tasks, starting with those that need the smallest share. If a
// serving task has exceeded its target for half of [Limits].MaxOverTarget, it
// pauses all of them: a pause takes effect only after its order is carried out.
func (s *Shard) allocatePaces(now clock.Millis, e *Executor) {
	overTooLong := e.overTargetSince > 0 && now.Sub(e.overTargetSince) > s.Limits.MaxOverTarget/2
	var candidates []paceCandidate
	e.pacesChanged, e.bestEffortLoadsKnown = true, false
	for i := range e.runs {
		a := &e.runs[i]
		if !a.step.Fills || !a.isCurrent() || a.task.State != TaskRunning {
			continue
		}
		if overTooLong {
			a.task.targetPace = 0
			continue
		}
		candidates = append(candidates, s.newPaceCandidate(e, a.step, a.task))
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

// newPaceCandidate returns the candidate for a best-effort task on e. Images
// below minHarmfulWeight count as adding no load.
func (s *Shard) newPaceCandidate(e *Executor, st *Step, t *Task) paceCandidate {
	candidate := paceCandidate{task: t, loads: make([]float64, len(e.servingTasks))}
	for i := range e.servingTasks {
		serving := &e.servingTasks[i]
		if weight := serving.model.weight(st.Image); weight >= minHarmfulWeight {
			candidate.loads[i] = weight * e.cpuFraction(st)
			candidate.headroomShare = max(candidate.headroomShare, candidate.loads[i]/max(serving.headroom, 1e-3))
		}
	}
	return candidate
}

// cpuFraction returns the share of the processors of e that a task of a step
// requests.
func (e *Executor) cpuFraction(st *Step) float64 {
	return float64(st.Size.CPU) / float64(max(1, e.Capacity.CPU))
}

// knownHarmless reports whether an image is known to be harmless to every
// serving task on e that exceeds its target.
func (s *Shard) knownHarmless(e *Executor, image unit.Image) bool {
	for k := range e.servingTasks {
		if e.servingTasks[k].overTarget && !e.servingTasks[k].model.knownHarmless(image) {
			return false
		}
	}
	return true
}

// sendPaces orders the target paces of best-effort tasks that differ enough
// from the ordered ones.
func (s *Shard) sendPaces(now clock.Millis) {
	for _, e := range s.executors.All() {
		if !e.pacesChanged || e.unresponsive {
			continue
		}
		e.pacesChanged = false
		for i := range e.runs {
			id, t := e.runs[i].id, e.runs[i].task
			if !e.runs[i].step.Fills || !e.runs[i].isCurrent() || t.State != TaskRunning {
				continue
			}
			target := t.targetPace
			if diff := target - t.orderedPace; !t.paceUncertain && (diff == 0 || diff < minPaceChange && diff > -minPaceChange && target != 0 && target != fullPace) {
				continue
			}
			t.times.changePace(now, t.orderedPace)
			t.orderedPace, t.paceUncertain = target, false
			s.pendingOrders = append(s.pendingOrders, Order{To: e.target(), Pace: &PaceOrder{id, t.Run, target, s.token(e)}})
			s.report(Event{Kind: "paced", Task: id, Run: t.Run, Executor: e.Executor})
		}
	}
}

// admits reports whether the requested task may be added to e. A perpetual task
// that ran before may start wherever there is capacity. So may the first task
// of a starved job, unless it is a best-effort task and a serving task on e
// exceeds its target.
func (s *Shard) admits(e *Executor, request *placementRequest) bool {
	st := request.step
	switch {
	case request.starved && (e.overTargetSince == 0 || !st.Fills):
		return true
	case st.Perpetual:
		return request.ranBefore || request.ignoresReserve || !e.reservedForBatch
	case !st.Fills || e.servingCount == 0:
		return true
	case e.overTargetSince > 0 && !s.knownHarmless(e, st.Image):
		return false
	}
	return s.headroomShare(e, request) <= maxHeadroomShare
}

// headroomShare returns the largest share of the headroom of a serving task on
// e that the requested task would take, together with the load that is still
// pending there.
func (s *Shard) headroomShare(e *Executor, request *placementRequest) float64 {
	if len(e.servingTasks) == 0 && e.servingCount > 0 {
		return defaultHeadroomShare
	}
	if !e.bestEffortLoadsKnown {
		e.updatePending()
	}
	share, fraction := 0.0, e.cpuFraction(request.step)
	for i := range e.servingTasks {
		serving := &e.servingTasks[i]
		if weight := request.weight(serving.model); weight >= minHarmfulWeight {
			share = max(share, (weight*fraction+serving.pending)/math.Max(serving.headroom, 1e-3))
		}
	}
	return share
}

// updatePending computes the load that best-effort tasks on e will add to each
// serving task and that the last run list did not show, because they are starting
// or run below full pace.
func (e *Executor) updatePending() {
	for i := range e.servingTasks {
		e.servingTasks[i].pending = 0
	}
	for r := range e.runs {
		a := &e.runs[r]
		if !a.step.Fills || !a.isCurrent() {
			continue
		}
		pending := 1 - float64(a.task.targetPace)/float64(fullPace)
		if a.task.State != TaskRunning {
			pending = 1
		}
		if pending <= 0 {
			continue
		}
		fraction := e.cpuFraction(a.step)
		for i := range e.servingTasks {
			if weight := e.servingTasks[i].model.weight(a.step.Image); weight >= minHarmfulWeight {
				e.servingTasks[i].pending += pending * weight * fraction
			}
		}
	}
	e.bestEffortLoadsKnown = true
}
