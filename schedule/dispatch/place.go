package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Policy rates a candidate for a demand. A lower rating is better. False
// excludes the candidate.
type Policy[C, D any] interface {
	Rate(candidate C, demand D) (float64, bool)
}

// bestCandidate returns the candidate with the lowest rating, and the first of
// them if several have it. It returns false if the policy excludes all.
func bestCandidate[C, D any](p Policy[C, D], candidates []C, demand D) (C, bool) {
	var chosen C
	var lowest float64
	found := false
	for _, c := range candidates {
		if r, ok := p.Rate(c, demand); ok && (!found || r < lowest) {
			chosen, lowest, found = c, r, true
		}
	}
	return chosen, found
}

// placementRequest is a task to place. The tasks of a step share a request, with
// the fields of the task set for each.
type placementRequest struct {
	shard   *Shard
	now     clock.Millis
	key     stepKey
	step    *Step
	pool    *executorPool
	advised bool // only executors with a ticket are admitted
	starved bool // see Shard.isStarved

	ignoresReserve bool // executors that are reserved for batch tasks are not excluded

	rack    unit.Rack     // rack of the other tasks of the step, "" if it does not matter
	weights []imageWeight // of the image of the step; used by weight

	ranBefore       bool          // the task ran before
	avoidedExecutor unit.Executor // executor of the last run that failed or was moved

	round rackRound
}

// imageWeight is the weight of an image in an interference model.
type imageWeight struct {
	model  *InterferenceModel
	weight float64
}

// newPlacementRequest returns a request for the tasks of a step.
func (s *Shard) newPlacementRequest(now clock.Millis, k stepKey, j *Job, pool *executorPool) *placementRequest {
	return &placementRequest{
		shard: s, now: now, key: k, step: &j.Spec.Steps[k.step], pool: pool,
		advised: s.queue(j).Advice != nil, starved: s.isStarved(now, s.readySteps[k], j),
	}
}

// forTask sets the fields of a task and returns the request.
func (request *placementRequest) forTask(t *Task) *placementRequest {
	request.ranBefore, request.avoidedExecutor = t.Run > 0, t.avoidedExecutor
	return request
}

// isRestart reports whether the task is perpetual and ran before.
func (request *placementRequest) isRestart() bool { return request.step.Perpetual && request.ranBefore }

// weight returns the weight of the image of the step in a model.
func (request *placementRequest) weight(m *InterferenceModel) float64 {
	for i := range request.weights {
		if request.weights[i].model == m {
			return request.weights[i].weight
		}
	}
	w := m.weight(request.step.Image)
	request.weights = append(request.weights, imageWeight{m, w})
	return w
}

// admissible reports whether the task may be added to e. Where the queue has an
// advice policy, only executors whose ticket stays valid for ticketMargin are
// admitted.
func (request *placementRequest) admissible(e *Executor) bool {
	return (!request.advised || request.hasTicket(e)) && request.shard.admits(e, request)
}

// hasTicket reports whether a ticket for the step on e stays valid for ticketMargin.
func (request *placementRequest) hasTicket(e *Executor) bool {
	return request.shard.ticketOf(request.now.Add(ticketMargin), request.key, e) != ""
}

// SeparationPolicy keeps best-effort tasks away from serving tasks, packs
// perpetual tasks onto few executors, and spreads batch tasks over idle
// processors.
type SeparationPolicy struct{}

var _ Policy[*Executor, *placementRequest] = SeparationPolicy{}

// Penalties are added to a rating. Ratings only rank executors, and a lower one
// is better. The comment of a penalty that is scaled names its factor. Ratings
// also depend on processor time: by 10 per core for best-effort and perpetual
// tasks, by 1 per core for batch tasks.
const (
	penaltyRack     = 1e6 // not on the rack of the data or of the other tasks; away from their data, runs take several times longer
	penaltyPromised = 5e5 // a batch task uses room that is promised to one that waits for its rack, see Shard.promise
	penaltyReserve  = 2e5 // a perpetual task uses the reserve for batch tasks
	penaltyAvoided  = 1e5 // the last run of the task failed there or was moved from there
	// penaltyServing applies to a best-effort task, times the headroom share that
	// it would take from serving tasks, and unscaled to a perpetual task that
	// shares an executor with best-effort tasks.
	penaltyServing    = 1e4
	penaltyFailure    = 1e3 // times the failed runs there in a row
	penaltyNoServing  = 500 // a perpetual task goes to an executor without serving tasks
	penaltyBestEffort = 250 // a batch task takes processor time that best-effort tasks request
	penaltyImage      = 200 // a perpetual task, times the other images that serve there
	// penaltyBatchNoServing applies to a batch task on an executor without serving
	// tasks, where best-effort tasks could run at full pace.
	penaltyBatchNoServing = 100
	milliCPUPerCore       = 1e3 // not a penalty; converts thousandths of a core to cores
)

// nonServingHeadroomShare is the headroom share that an executor without
// serving tasks counts as. A best-effort task goes there if it would take a
// larger share on every executor with serving tasks.
const nonServingHeadroomShare = 0.1

// Rate implements [Policy]. It excludes executors that do not satisfy the
// demand of the task or do not admit it.
func (SeparationPolicy) Rate(e *Executor, request *placementRequest) (float64, bool) {
	step := request.step
	if request.exclusion(e) != NotExcluded {
		return 0, false
	}
	rating := penaltyFailure * float64(e.consecutiveFailures)
	if step.Near != "" && !e.hasLabel(unit.Label(step.Near)) || request.rack != "" && !e.hasLabel(unit.Label(request.rack)) {
		rating += penaltyRack
	}
	if request.avoidedExecutor == e.Executor {
		rating += penaltyAvoided
	}
	unrequestedCPU := float64(e.unrequestedCPU())
	switch {
	case step.Fills:
		if e.servingCount > 0 {
			rating += penaltyServing * request.shard.headroomShare(e, request)
		} else {
			rating += penaltyServing * nonServingHeadroomShare
		}
		rating -= 10 * float64(e.availableBestEffortCPU()) / milliCPUPerCore
	case step.Perpetual:
		if e.bestEffortCPU > 0 {
			rating += penaltyServing + 10*float64(e.bestEffortCPU)/milliCPUPerCore
		}
		if e.servingCount == 0 {
			rating += penaltyNoServing
		}
		// Serving tasks of one image peak at the same time and leave processor
		// time idle at the same time.
		rating += penaltyImage * float64(e.otherServingImages(step.Image))
		if e.reservedForBatch {
			rating += penaltyReserve
		}
		rating += 10 * float64(e.Capacity.CPU-e.allocated.CPU) / milliCPUPerCore // prefers the fullest executor that fits
	default:
		if unrequestedCPU < float64(step.Size.CPU) {
			rating += penaltyBestEffort
		}
		if e.servingCount == 0 {
			rating += penaltyBatchNoServing
		}
		if request.shard.isPromised(e) && request.wantedRack() == "" {
			rating += penaltyPromised
		}
		rating -= unrequestedCPU / milliCPUPerCore
	}
	return rating, true
}

// place assigns ready tasks to executors, most urgent first. Perpetual tasks
// that ran before come ahead of all others.
func (s *Shard) place(now clock.Millis) {
	s.placements++
	s.ratingsAtPlacement = s.ratings
	defer s.reviewRackWaits(now)
	if len(s.readySteps) == 0 || s.AwaitsOperator {
		return
	}
	pools := s.pools(now)
	s.placedAt = s.availability
	keys := s.sortedReady(now)
	s.placeRestarts(now, keys, pools)
	s.reserveForRestarts(now, keys, pools)
	s.ratingsAtPlacement = s.ratings // restarts leave the others as many ratings as they may use themselves
	for _, pool := range pools {
		pool.updateRecent()
	}
	failed := make(failedSteps)
	for _, k := range s.placeRotation.order(keys) {
		if s.ratingsSpent() {
			s.placeRotation.next = k
			break
		}
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() {
			s.dropReady(now, k)
			continue
		}
		pool := pools[s.queue(j).Service]
		if pool == nil {
			continue
		}
		tasks := j.tasks(k)
		request := s.newPlacementRequest(now, k, j, pool)
		if failed.includes(request, tasks) {
			continue
		}
		placedAll := true
		if request.step.Gang {
			placedAll = s.placeGang(request, j, tasks)
		} else {
			placedAll = s.placeEach(request, j, tasks)
		}
		switch {
		case placedAll:
			s.dropReady(now, k)
		case !s.ratingsSpent():
			failed.add(request)
		}
	}
	s.reportWaits(now, pools)
	s.reportCapacity(now, pools)
}

// failedSteps has the steps of which a placement has found no executor for a task, in
// any occurrence, with whether the job was starved. A job then costs a placement one
// attempt for each of its steps, however many occurrences are ready.
type failedSteps map[stepKey]bool

// add records that no executor takes a task of a request.
func (f failedSteps) add(request *placementRequest) {
	if request.hasEqualOccurrences() {
		f[stepKey{job: request.key.job, step: request.key.step}] = request.starved
	}
}

// includes reports whether no executor takes one of the tasks of a request, as one of
// another occurrence of its step was tried before. More executors take a task of a
// starved job, and a perpetual task that ran before.
func (f failedSteps) includes(request *placementRequest, tasks []Task) bool {
	starved, ok := f[stepKey{job: request.key.job, step: request.key.step}]
	if !ok || request.starved && !starved {
		return false
	}
	return !request.step.Perpetual || !slices.ContainsFunc(tasks, func(t Task) bool { return t.Run > 0 })
}

// hasEqualOccurrences reports whether the executors that take a task are the same in
// all occurrences of the step.
func (request *placementRequest) hasEqualOccurrences() bool {
	st := request.step
	return !request.advised && !st.Gang && !st.SameRack && st.Near == "" && st.MaxPerExecutor == 0
}

// maxRatings is the number of ratings of executors in a placement after which it
// leaves the remaining steps to the next one. The control goroutine has to handle
// messages in between, such as the renewal of the membership.
const maxRatings = 300_000

// ratingsSpent reports whether the placement has rated as many executors as it may.
func (s *Shard) ratingsSpent() bool { return s.ratings-s.ratingsAtPlacement >= maxRatings }

// choose returns the best executor for a request.
func (s *Shard) choose(candidates []*Executor, request *placementRequest) (*Executor, bool) {
	s.ratings += int64(len(candidates))
	return bestCandidate(SeparationPolicy{}, candidates, request)
}

// starvationTimeout is how long a job may have no assigned task before its next
// task is placed on any executor with capacity; [Shard.admits] has the exception.
// The platform counts a job as starved after 3 s.
const starvationTimeout = 2 * clock.Second

// isStarved reports whether a step of a job has been ready for starvationTimeout
// while no task of the job is assigned. A step that is not ready is nil and not
// starved.
func (s *Shard) isStarved(now clock.Millis, ready *readyStep, j *Job) bool {
	return ready != nil && now.Sub(ready.since) >= starvationTimeout && j.assignedRuns == 0
}

// placeRestarts places perpetual tasks that ran before ahead of those that
// never ran, so that they get back the capacity that they have just released.
func (s *Shard) placeRestarts(now clock.Millis, keys []stepKey, pools map[unit.Service]*executorPool) {
	for _, k := range keys {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() || !j.Spec.Steps[k.step].Perpetual || j.Spec.Steps[k.step].Gang {
			continue
		}
		pool := pools[s.queue(j).Service]
		if pool == nil {
			continue
		}
		tasks, ready := j.tasks(k), s.readySteps[k]
		request := s.newPlacementRequest(now, k, j, pool)
		for i := range tasks {
			if tasks[i].State != TaskReady || tasks[i].Run == 0 {
				continue
			}
			if s.ratingsSpent() {
				return
			}
			e, ok := s.choose(pool.since(s.retryFrom(request, ready.restartFailedAt)), request.forTask(&tasks[i]))
			if !ok {
				ready.restartFailedAt = s.availability
				break
			}
			s.recordPlacement(pool, request.step, e)
			s.assign(now, TaskID{k.job, k.occurrence, k.step, i}, j, request.step, &tasks[i], e)
		}
	}
}

// retryFrom returns the availability from which on executors have to be rated for
// a request that no executor could take at failedAt. Tickets expire and arrive
// without a change of an executor.
func (s *Shard) retryFrom(request *placementRequest, failedAt availability) availability {
	if request.advised {
		return 0
	}
	return failedAt
}

// reservationInterval is the interval at which the reservations for perpetual tasks
// that wait to run again are made anew.
const reservationInterval = 100 * clock.Millisecond

// overdueTimeout is how long a perpetual task that ran before waits until batch
// tasks make room for it. It has to run again within 9 s, if there is capacity.
const overdueTimeout = 3 * clock.Second

// reserveForRestarts reserves processor time for each perpetual task that ran
// before and fits on no executor now. Otherwise smaller tasks, which fit sooner,
// would take each part that becomes free: first runs of perpetual tasks for good,
// and batch tasks, which are kept out after overdueTimeout, one after the other. It
// chooses the executor with the most free processor time among those on which the
// task fits once the batch tasks there have ended. The reservations are made anew
// at reservationInterval, and at once when more tasks wait.
func (s *Shard) reserveForRestarts(now clock.Millis, keys []stepKey, pools map[unit.Service]*executorPool) {
	waiting := s.countWaitingRestarts(keys)
	if waiting <= s.reservedRestarts && now < s.reservedAt.Add(reservationInterval) {
		return
	}
	s.reservedRestarts, s.reservedAt = waiting, now
	for _, e := range s.executors.All() {
		if e.reservedCPU > 0 {
			e.reservedCPU, e.overdueCPU = 0, 0
			s.markAvailable(e)
		}
	}
	if waiting == 0 {
		return
	}
	for _, k := range keys {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() || !j.Spec.Steps[k.step].Perpetual {
			continue
		}
		service := s.queue(j).Service
		pool := pools[service]
		tasks := j.tasks(k)
		for i := range tasks {
			if tasks[i].State != TaskReady || tasks[i].Run == 0 {
				continue
			}
			if s.ratingsSpent() {
				return
			}
			s.stopVacating(service)
			if pool == nil {
				break
			}
			s.ratings += int64(len(pool.executors))
			e := pool.reservable(s.newPlacementRequest(now, k, j, pool).forTask(&tasks[i]))
			if e == nil {
				break
			}
			e.reservedCPU += j.Spec.Steps[k.step].Size.CPU
			if now.Sub(s.readySteps[k].since) >= overdueTimeout {
				e.overdueCPU += j.Spec.Steps[k.step].Size.CPU
			}
		}
	}
}

// countWaitingRestarts returns the number of perpetual tasks of ready steps that
// ran before.
func (s *Shard) countWaitingRestarts(keys []stepKey) int {
	n := 0
	for _, k := range keys {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() || !j.Spec.Steps[k.step].Perpetual {
			continue
		}
		tasks := j.tasks(k)
		for i := range tasks {
			if tasks[i].State == TaskReady && tasks[i].Run > 0 {
				n++
			}
		}
	}
	return n
}

// stopVacating lets executors of a service get new runs that were to be lent.
func (s *Shard) stopVacating(service unit.Service) {
	for _, e := range s.executors.All() {
		if e.Service == service {
			e.vacatingUntil = 0
		}
	}
}

// placeEach places the ready tasks of a step one by one. It stops at the first one
// that fits nowhere, and passes over those that wait for their rack. It reports
// whether it placed all.
func (s *Shard) placeEach(request *placementRequest, j *Job, tasks []Task) bool {
	k, pool, ready := request.key, request.pool, s.readySteps[request.key]
	if request.starved && !ready.starved {
		ready.failedAt = 0 // executors may take a task now although they have not changed
	}
	placedAll, groupPlaced := true, false
	for i := range tasks {
		t := &tasks[i]
		if t.State != TaskReady {
			continue
		}
		if s.ratingsSpent() {
			return false
		}
		if request.step.SameRack && !groupPlaced {
			var waits bool
			if request.rack, waits = s.groupRack(request, j, tasks); waits {
				return false
			}
			groupPlaced = request.rack != "" && s.rackOf(tasks) == request.rack
		}
		e, waits := s.choosePlace(request.forTask(t), j, tasks, s.retryFrom(request, ready.failedAt))
		if waits {
			placedAll = false
			continue
		}
		if e == nil {
			e, _ = s.exchangeReserved(request)
		}
		if e == nil {
			if !request.isRestart() {
				ready.failedAt, ready.starved = s.availability, request.starved
			}
			return false
		}
		s.recordPlacement(pool, request.step, e)
		s.assign(request.now, TaskID{k.job, k.occurrence, k.step, i}, j, request.step, t, e)
		request.starved = false // its job has an assigned task now
	}
	return placedAll
}

// placeGang places all tasks of a step or none, and reports whether it placed
// them. All members continue from the highest run number and from the greatest
// checkpoint, in string order, among them.
func (s *Shard) placeGang(request *placementRequest, j *Job, tasks []Task) bool {
	k, st, pool, ready := request.key, request.step, request.pool, s.readySteps[request.key]
	if request.now < ready.gangRetryAt {
		return false
	}
	lastRun := unit.Run(0)
	var checkpoint unit.Checkpoint
	for i := range tasks {
		if tasks[i].State != TaskReady {
			return false
		}
		lastRun = max(lastRun, tasks[i].Run)
		checkpoint = max(checkpoint, tasks[i].Checkpoint)
	}
	if !request.mayHoldGang(tasks) {
		return false
	}
	var waits bool
	if request.rack, waits = s.groupRack(request, j, tasks); waits {
		return false
	}
	ratings := s.ratings
	chosen := make([]*Executor, 0, len(tasks))
	for i := range tasks {
		if len(chosen) > 0 && st.SameRack {
			request.rack = rackLabel(chosen[0])
		}
		e, ok := s.chooseForMember(request.forTask(&tasks[i]), chosen, len(tasks))
		if !ok {
			ready.gangRetryAt = request.now.Add(clock.Span((s.ratings - ratings) / ratingsPerMilli))
			break
		}
		e.addRun(assignment{TaskID{k.job, k.occurrence, k.step, i}, lastRun + 1, j, st, &tasks[i]})
		chosen = append(chosen, e)
	}
	for i, e := range chosen {
		id := TaskID{k.job, k.occurrence, k.step, i}
		e.removeRun(id)
		if len(chosen) < len(tasks) {
			continue
		}
		tasks[i].Run, tasks[i].Checkpoint = lastRun, checkpoint
		s.recordPlacement(pool, st, e)
		s.assign(request.now, id, j, st, &tasks[i], e)
	}
	return len(chosen) == len(tasks)
}

const (
	// maxSpreadRatings is the number of ratings up to which each member of a gang is
	// placed on the best executor.
	maxSpreadRatings = 100_000
	// ratingsPerMilli is the number of ratings of an attempt to place a gang for which
	// the next attempt waits a millisecond.
	ratingsPerMilli = 1000
)

// mayHoldGang reports whether the executors have the capacity for all members of a
// gang. It doesn't consider what else keeps a member from an executor.
func (request *placementRequest) mayHoldGang(tasks []Task) bool {
	missing := len(tasks)
	for i := range tasks {
		request.ranBefore = request.ranBefore || tasks[i].Run > 0 // may use more than other tasks
	}
	for _, e := range request.pool.executors {
		if request.spreadExclusion(e) != NotExcluded {
			continue
		}
		if missing -= request.countFitting(e); missing <= 0 {
			return true
		}
	}
	return false
}

// chooseForMember returns the best executor for the next member of a gang of the given
// size. A gang for which that takes too many ratings fills the executors one by one.
func (s *Shard) chooseForMember(request *placementRequest, chosen []*Executor, size int) (*Executor, bool) {
	if len(chosen) > 0 && size*len(request.pool.executors) > maxSpreadRatings {
		s.ratings++
		if last := chosen[len(chosen)-1]; request.exclusion(last) == NotExcluded {
			return last, true
		}
	}
	return s.choose(request.pool.executors, request)
}

// assign assigns the next run of a task to e. The start is ordered once the
// assignment is stored.
func (s *Shard) assign(now clock.Millis, id TaskID, j *Job, st *Step, t *Task, e *Executor) {
	t.State = TaskPlaced
	j.Occurrences[id.Occurrence].Steps[id.Step].times.assign(now, &t.times)
	t.Run++
	t.Executor, t.Incarnation = e.Executor, e.Incarnation
	t.confirmedAt, t.progress, t.firstProgressAt, t.lastActionAt = 0, 0, 0, now
	t.startUncertain, t.inFlight, t.recovered, t.paceUncertain, t.orderedPace, t.targetPace = false, false, false, false, fullPace, fullPace
	e.addRun(assignment{id, t.Run, j, st, t})
	s.pendingStarts = append(s.pendingStarts, id)
	s.markDirty(id.Job, j)
}

// rackOf returns the rack of the first assigned task, or "" if no task is
// assigned.
func (s *Shard) rackOf(tasks []Task) unit.Rack {
	for i := range tasks {
		if tasks[i].State.assigned() {
			if e := s.executors.Get(tasks[i].Executor); e != nil {
				return rackLabel(e)
			}
		}
	}
	return ""
}

// rackLabel returns the label of an executor that names its rack, or "" if it
// has no labels. The labels of an executor are its kind and its rack, in this
// order.
func rackLabel(e *Executor) unit.Rack {
	if len(e.Labels) == 0 {
		return ""
	}
	return unit.Rack(e.Labels[len(e.Labels)-1])
}
