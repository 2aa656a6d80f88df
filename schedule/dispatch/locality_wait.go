package dispatch

import (
	"cmp"
	"fmt"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// maxIdleRackWait is how long a step may be ready and wait for a rack while no
	// task of its job runs. It leaves half of starvationTimeout for a start
	// elsewhere.
	maxIdleRackWait = starvationTimeout / 2
	// groupCheckInterval is the interval at which the forecasts of all racks are
	// compared again for a group.
	groupCheckInterval = 100 * clock.Millisecond
	// scarceFill is the share in use of the capacity that perpetual tasks leave from
	// which what a run occupies counts as missing to others.
	scarceFill = 0.8
)

// rackWait is the wait of a step for room on a rack. It lasts as long as the
// occurrence, so that the clock does not start anew when a run fails.
type rackWait struct {
	rack     unit.Rack
	since    clock.Millis // when the step began to wait, 0 if it has not
	until    clock.Millis // when the wait ends at the latest, by the last estimate
	weighed  clock.Millis // last placement that decided to wait
	active   bool         // its end is to be reported
	spent    bool         // the step may not wait, since its owner took over
	expected clock.Span   // expected length of the wait when it began, for all tasks
	gain     clock.Span   // by how much a run is shorter on the rack
	promises []promise    // one for each task that waits
	checkAt  clock.Millis // when the forecasts are compared again for a group
}

// rackRound is the part of a request that lasts for the tasks of a step in one
// placement.
type rackRound struct {
	full    bool // the rack has no room
	weighed bool // waiting is set
	waiting int  // tasks that are to wait
}

// wantedRack returns the rack on which the task runs faster, or "" if none is known.
func (request *placementRequest) wantedRack() unit.Rack {
	if request.step.Near != "" {
		return request.step.Near
	}
	return request.rack
}

// weighsWaits reports whether a wait for a rack may pay for tasks of a step: the
// platform names a factor, the run ends, and it needs no ticket, whose validity the
// forecast doesn't know. A best-effort run is excluded, because its pace depends on
// the tasks beside it.
func (s *Shard) weighsWaits(request *placementRequest) bool {
	st := request.step
	return s.Limits.RemoteFactor > 1 && st.Estimate > 0 && !st.Perpetual && !st.Fills && !request.advised
}

// rackWait returns the wait of the step of a request, which may not have begun.
func (request *placementRequest) rackWait(j *Job) *rackWait {
	state := &j.Occurrences[request.key.occurrence].Steps[request.key.step]
	if state.wait == nil {
		state.wait = new(rackWait)
	}
	return state.wait
}

// spendRackWaits keeps the unblocked steps of a restored job from waiting for a rack:
// how long they waited under the former owner is not stored.
func (j *Job) spendRackWaits() {
	for k := range j.Occurrences {
		for i := range j.Occurrences[k].Steps {
			st, state := &j.Spec.Steps[i], &j.Occurrences[k].Steps[i]
			if state.unblocked && (st.Near != "" || st.SameRack) {
				state.wait = &rackWait{spent: true}
			}
		}
	}
}

// choosePlace returns the best executor for a task, or nil. waits means that the task
// is better kept until there is room on its rack. Only executors that became
// available after from are rated off the rack; while the step waits, none are.
func (s *Shard) choosePlace(request *placementRequest, j *Job, tasks []Task, from availability) (e *Executor, waits bool) {
	rack := request.wantedRack()
	if rack == "" || !s.weighsWaits(request) {
		e, _ = s.choose(request.pool.since(from), request)
		return e, false
	}
	round := &request.round
	if !round.full {
		if e, ok := s.choose(request.pool.onRack(rack), request); ok {
			return e, false
		}
		round.full = true
	}
	w := request.rackWait(j)
	if !round.weighed && !w.spent {
		if !w.active {
			if e, _ = s.choose(request.pool.since(from), request); e == nil {
				return nil, false // there is no choice
			}
		}
		round.weighed, round.waiting = true, s.weighWaits(request, j, tasks, w)
	}
	if round.waiting > 0 {
		round.waiting--
		return nil, true
	}
	e, _ = s.choose(request.pool.since(from), request)
	return e, false
}

// weighWaits returns how many of the ready tasks of a step are to wait for its rack,
// and promises room there to each. The steps of a placement are weighed in its
// order, so that the most urgent one gets the first room, and a task for which room
// is left too late starts elsewhere at once. The step then ends no sooner than that
// task does, so that the others are weighed again.
func (s *Shard) weighWaits(request *placementRequest, j *Job, tasks []Task, w *rackWait) int {
	s.reportLapses(request, w)
	rack, ready := request.wantedRack(), countReady(tasks)
	f, c := s.rackForecast(request, rack), s.placeChoice(request, j, tasks, w)
	promises := s.payingWaits(request, f, c, ready)
	if n := len(promises); n > 0 && n < ready {
		c.others = max(c.others, c.runTime+c.gain())
		promises = s.payingWaits(request, f, c, n)
	}
	if len(promises) == 0 {
		return 0
	}
	for _, p := range promises {
		s.promise(request, w, f, p, &c)
	}
	waiting := len(promises)
	for i := range tasks {
		if tasks[i].State == TaskReady && waiting > 0 {
			tasks[i].waitedForRack = true
			waiting--
		}
	}
	last := promises[len(promises)-1]
	c.wait, c.waitSpread = last.at.Sub(request.now), last.deviation
	s.continueWait(request, w, rack, &c)
	return len(promises)
}

// payingWaits returns room for the first of n tasks of a step for which a wait pays.
// It leaves the forecast as it is.
func (s *Shard) payingWaits(request *placementRequest, f rackForecast, c placeChoice, n int) []promise {
	f = f.clone()
	var promises []promise
	for range n {
		p, ok := f.earliest(request.step.demand(), request.allows)
		if !ok {
			break
		}
		c.wait, c.waitSpread = s.waitErrors.correct(p.at.Sub(request.now), p.deviation)
		if !s.prefersWait(&c) {
			break
		}
		f.reserve(p, request.step.demand(), c.runTime, clock.Span(c.variation*float64(c.runTime)))
		c.others = max(c.others, c.wait+c.runTime)
		promises = append(promises, p)
	}
	return promises
}

// allows reports whether a task may run on e if it has the capacity.
func (request *placementRequest) allows(e *Executor) bool {
	return request.constraintExclusion(e) == NotExcluded
}

// prefersWait reports whether a wait pays.
func (s *Shard) prefersWait(c *placeChoice) bool {
	policy := s.placePolicy
	if policy == nil {
		policy = expectedTimePolicy{}
	}
	option, ok := bestCandidate(policy, placeOptions, c)
	return ok && option == waitForRack
}

// placeChoice returns the choice for a task of a step without the expected wait.
func (s *Shard) placeChoice(request *placementRequest, j *Job, tasks []Task, w *rackWait) placeChoice {
	st := request.step
	c := placeChoice{
		factor: s.Limits.RemoteFactor, slowed: 1, hitRate: s.rackHits.rate(request.now), objective: j.latencyObjective(), shortage: request.pool.shortage(),
		slack: j.dueAt.Sub(request.now) - j.Spec.pathAfter(request.key.step), maxWait: maxSpan,
	}
	c.runTime, c.variation = s.expectedRunTime(j, st)
	if w.since > 0 {
		c.waited = request.now.Sub(w.since)
	}
	if !s.hasRunningTask(j) {
		c.maxWait = maxIdleRackWait
	}
	if st.SameRack {
		c.slowed = len(tasks)
	}
	for i := range tasks {
		t := &tasks[i]
		if e := s.executors.Get(t.Executor); e != nil && t.State.assigned() {
			left, _ := s.remainingTime(request.now, j, st, t, e)
			c.others = max(c.others, left)
		}
	}
	return c
}

// promise promises room to a task of a step, until the placement after this one.
// Meanwhile batch tasks without a rack go elsewhere if they can.
func (s *Shard) promise(request *placementRequest, w *rackWait, f rackForecast, p promise, c *placeChoice) {
	f.reserve(p, request.step.demand(), c.runTime, clock.Span(c.variation*float64(c.runTime)))
	p.executor.promisedIn = s.placements
	w.promises = append(w.promises, p)
}

// isPromised reports whether this placement or the last one promised room on e.
func (s *Shard) isPromised(e *Executor) bool {
	return e.promisedIn > 0 && e.promisedIn >= s.placements-1
}

// continueWait records that a step waits, and reports it if it did not wait before.
func (s *Shard) continueWait(request *placementRequest, w *rackWait, rack unit.Rack, c *placeChoice) {
	now, k := request.now, request.key
	if w.since == 0 {
		w.since = now
	}
	w.rack, w.weighed, w.gain, w.until = rack, now, c.gain(), w.since.Add(c.limit())
	if w.active {
		return
	}
	w.active, w.expected = true, c.waited+c.wait
	if s.rackWaits == nil {
		s.rackWaits = make(map[stepKey]*rackWait)
	}
	s.rackWaits[k] = w
	s.report(Event{
		Kind: "waitsForRack", Task: TaskID{k.job, k.occurrence, k.step, 0}, Age: c.waited,
		Reason: fmt.Sprintf("rack=%s tasks=%d expectedMs=%d spreadMs=%d gainMs=%d atMostMs=%d slackMs=%d shortage=%.2f",
			rack, len(w.promises), c.wait, c.waitSpread, c.gain(), c.limit(), c.slack, c.shortage),
	})
}

// reportLapses takes back the promises to a step, which are made anew in each
// placement, and reports the first that can't be kept.
func (s *Shard) reportLapses(request *placementRequest, w *rackWait) {
	for _, p := range w.promises {
		if reason := s.unusableReason(request.now, p.executor); reason != "" {
			k := request.key
			s.report(Event{Kind: "rackPromiseLapsed", Task: TaskID{k.job, k.occurrence, k.step, 0}, Executor: p.executor.Executor, Reason: reason})
			break
		}
	}
	w.promises = w.promises[:0]
}

// unusableReason returns why no new run may be placed on e, or "" if it may.
func (s *Shard) unusableReason(now clock.Millis, e *Executor) string {
	switch {
	case s.accepts(now, e):
		return ""
	case e.Draining:
		return "executor drains"
	case e.evacuated:
		return "data centre is evacuated"
	case now < e.evacuatingUntil:
		return "executor is evacuated"
	case now < e.vacatingUntil:
		return "executor is lent"
	case now < e.suspectUntil:
		return "executor is suspect"
	case e.unresponsive || !e.registered:
		return "executor is lost"
	}
	return "executor is not usable"
}

// reviewRackWaits reports the waits that have ended: that of a step without a task
// that waited in this placement, once a task has started or none is left to place.
// A wait paid if the tasks on the rack gained more time than the step waited.
func (s *Shard) reviewRackWaits(now clock.Millis) {
	for _, k := range s.endedRackWaits(now) {
		w := s.rackWaits[k]
		onRack, elsewhere := s.countStarts(k, w)
		if s.readySteps[k] != nil && onRack+elsewhere == 0 {
			w.promises = w.promises[:0] // there is no room elsewhere either
			continue
		}
		w.active, w.promises = false, nil
		delete(s.rackWaits, k)
		if onRack+elsewhere == 0 {
			continue // the job has ended
		}
		waited := now.Sub(w.since)
		s.rackHits.add(now, onRack, elsewhere)
		if elsewhere == 0 {
			s.waitErrors.add(w.expected, waited)
		}
		kind := "rackWaitUnpaid"
		if clock.Span(onRack)*(w.gain-waited) > clock.Span(elsewhere)*waited {
			kind = "rackWaitPaid"
		}
		s.report(Event{
			Kind: kind, Task: TaskID{k.job, k.occurrence, k.step, 0}, Age: waited,
			Reason: fmt.Sprintf("rack=%s onRack=%d elsewhere=%d gainMs=%d", w.rack, onRack, elsewhere, w.gain),
		})
	}
}

// endedRackWaits returns the steps without a task that waited in this placement, in a
// fixed order, since what is learned from them depends on it.
func (s *Shard) endedRackWaits(now clock.Millis) []stepKey {
	var ended []stepKey
	for k, w := range s.rackWaits {
		if w.weighed != now {
			ended = append(ended, k)
		}
	}
	slices.SortFunc(ended, func(a, b stepKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
	})
	return ended
}

// countStarts returns how many tasks of a step that waited were assigned on the rack,
// and elsewhere. It counts a task once.
func (s *Shard) countStarts(k stepKey, w *rackWait) (onRack, elsewhere int) {
	j := s.jobs.Get(k.job)
	if j == nil || j.Spec == nil {
		return 0, 0
	}
	tasks := j.tasks(k)
	for i := range tasks {
		t := &tasks[i]
		e := s.executors.Get(t.Executor)
		switch {
		case !t.State.assigned() || !t.waitedForRack || e == nil:
			continue
		case e.hasLabel(unit.Label(w.rack)):
			onRack++
		default:
			elsewhere++
		}
		t.waitedForRack = false
	}
	return onRack, elsewhere
}

// pathAfter returns the length of the longest path through the steps that follow a
// step, by their estimates.
func (s *Spec) pathAfter(step int) clock.Span {
	var longest clock.Span
	follows, finishTimes := make([]bool, len(s.Steps)), make([]clock.Span, len(s.Steps))
	for i := step + 1; i < len(s.Steps); i++ {
		for _, predecessor := range s.Steps[i].After {
			if predecessor == step || follows[predecessor] {
				follows[i], finishTimes[i] = true, max(finishTimes[i], finishTimes[predecessor])
			}
		}
		if follows[i] {
			finishTimes[i] += s.Steps[i].Estimate
			longest = max(longest, finishTimes[i])
		}
	}
	return longest
}
