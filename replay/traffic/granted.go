package traffic

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/queue"
	"mimosadock/schedule/retry"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

var _ Scheme = (*Granted)(nil)

// Granted drives the decision code of the request path: queue, route, limits of
// slots, ejection and retries, in the order in which an entry process asks
// them. Use [NewGranted].
type Granted struct {
	world    *World
	process  *processRow
	rows     table.Table[unit.Upstream, sendRow]
	order    []unit.Upstream
	groups   []*route.Group
	targets  map[unit.Service]*route.Target
	samples  map[unit.Service]*route.Samples
	queue    queue.Queue[requestIndex]
	items    map[requestIndex]*queue.Item[requestIndex]
	sent     map[attemptIndex]*sendRow
	long     []requestIndex // wait for a pinned slot
	demand   queue.Demand
	pressure bool
	bulk     unit.Slots // in flight
	active   int        // urgent and standard in flight
	budget   retry.Budget
	kept     []kept
}

// sendRow is one upstream as a process sees it.
type sendRow struct {
	upstream *route.Upstream
	health   route.Health
	slots    unit.Slots
	leaving  bool
}

// kept is a slot that stays taken although the request was given up, since the
// upstream may still run it.
type kept struct {
	until clock.Millis
	row   *sendRow
	long  bool
}

// NewGranted returns the scheme of process p.
func NewGranted(w *World, p *processRow) Scheme {
	s := &Granted{
		world: w, process: p,
		targets: make(map[unit.Service]*route.Target),
		samples: make(map[unit.Service]*route.Samples),
		items:   make(map[requestIndex]*queue.Item[requestIndex]),
		sent:    make(map[attemptIndex]*sendRow),
	}
	for _, u := range w.header.Deployment.Upstreams {
		up := &route.Upstream{Address: u.Address, DataCentre: u.DataCentre, Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		s.rows.Put(u.Address, sendRow{upstream: up, slots: u.Slots})
		s.order = append(s.order, u.Address)
	}
	for i := range w.text.Services {
		svc := &w.text.Services[i]
		stats := new(route.Stats)
		s.targets[svc.Name] = &route.Target{Service: svc, Stats: stats}
		s.samples[svc.Name] = &route.Samples{Stats: stats}
	}
	s.rebuild()
	return s
}

// rebuild makes the groups of the upstreams that are open, the own data centre
// first.
func (s *Granted) rebuild() {
	s.groups = s.groups[:0]
	local := s.process.DataCentre
	s.groups = append(s.groups, route.NewGroup(local, true, 0, s.open(local)))
	for _, dc := range s.world.header.Deployment.DataCentres {
		if dc != local {
			way := clock.Span((s.world.header.Deployment.Between + 999) / 1000)
			s.groups = append(s.groups, route.NewGroup(dc, false, way, s.open(dc)))
		}
	}
	for _, t := range s.targets {
		t.Groups = s.groups
	}
}

func (s *Granted) open(dc unit.DataCentre) []*route.Upstream {
	var out []*route.Upstream
	for _, address := range s.order {
		if r := s.rows.Get(address); r.upstream.DataCentre == dc && r.health.Open() && !r.leaving {
			out = append(out, r.upstream)
		}
	}
	return out
}

// Arrive sends the request if a slot is free and nothing is before it, and lets
// it wait otherwise.
func (s *Granted) Arrive(r requestIndex) {
	now := s.world.now.Millis()
	row := &s.world.requests[r]
	s.budget.Request(now)
	if row.service.Class == service.Long {
		s.long = append(s.long, r)
		return
	}
	if s.queue.Len() == 0 && s.mayStart(row) && s.choose(r, route.Query{}) {
		return
	}
	s.wait(r)
}

func (s *Granted) wait(r requestIndex) {
	row := &s.world.requests[r]
	item := &queue.Item[requestIndex]{Class: row.service.Class, Deadline: row.deadline, Value: r}
	if err := s.queue.Offer(item, s.world.now.Millis(), s.capacity(row)); err != nil {
		s.world.answer(r, verdict.Of(err), -1)
		return
	}
	s.items[r] = item
}

func (s *Granted) mayStart(r *requestRow) bool {
	return r.service.Class != service.Bulk || s.bulk < s.capacity(r).Bulk
}

func (s *Granted) capacity(r *requestRow) queue.Capacity {
	c := queue.Capacity{Service: s.targets[r.service.Name].Stats.P50().Span()}
	for _, row := range s.rows.All() {
		c.Slots += row.upstream.Slots.Free() + row.upstream.Slots.Used()
	}
	c.Bulk = queue.BulkShare(c.Slots, s.pressure)
	return c
}

// choose takes a slot and sends the request.
func (s *Granted) choose(r requestIndex, q route.Query) bool {
	row := &s.world.requests[r]
	q.Now, q.Deadline = s.world.now.Millis(), row.deadline
	up, _ := s.targets[row.service.Name].Choose(q)
	if up == nil {
		return false
	}
	s.send(r, s.rows.Get(up.Address))
	return true
}

func (s *Granted) send(r requestIndex, to *sendRow) {
	s.count(r, 1)
	s.sent[s.world.send(r, to.upstream.Address)] = to
}

func (s *Granted) count(r requestIndex, n int) {
	switch s.world.requests[r].service.Class {
	case service.Bulk:
		s.bulk += unit.Slots(n)
	case service.Urgent, service.Standard:
		s.active += n
	}
}

// Ended judges the upstream, frees the slot, and answers the caller or sends
// the request again.
func (s *Granted) Ended(a attemptIndex) {
	attempt := &s.world.attempts[a]
	to := s.sent[a]
	delete(s.sent, a)
	row := &s.world.requests[attempt.request]
	now := s.world.now.Millis()
	s.count(attempt.request, -1)
	s.judge(to, attempt, row)
	if attempt.outcome == verdict.MayHaveRun {
		s.kept = append(s.kept, kept{until: row.deadline.Add(upstreamGrace), row: to, long: row.service.Class == service.Long})
	} else {
		s.release(to, row.service.Class == service.Long)
	}
	if row.closed {
		return
	}
	t := s.targets[row.service.Name]
	again := retry.Attempt{
		Verdict: attempt.outcome, Idempotent: row.Idempotent, Replayable: true, Retries: row.tries - 1,
		Remaining: row.deadline.Sub(now), Service: t.Stats.P50().Span(),
	}
	if retry.Allowed(again) && s.budget.Spend(now) && s.again(attempt.request, to) {
		return
	}
	if attempt.outcome == verdict.Ran {
		s.world.answer(attempt.request, verdict.Ran, a)
		return
	}
	s.world.answer(attempt.request, row.verdict(), -1)
}

// again sends a request to another upstream than the last.
func (s *Granted) again(r requestIndex, last *sendRow) bool {
	if s.world.requests[r].service.Class == service.Long {
		return s.pin(r)
	}
	return s.choose(r, route.Query{Except: [route.MaxExcept]*route.Upstream{last.upstream}})
}

func (s *Granted) judge(to *sendRow, a *attemptRow, r *requestRow) {
	if a.outcome != verdict.Ran {
		to.health.Failure()
		return
	}
	l := route.Latency(s.world.now.MillisSince(a.sent) * 1000)
	to.upstream.Report(int64(to.upstream.InFlight()))
	if r.service.Class == service.Long {
		return
	}
	s.samples[r.service.Name].Add(l)
	if r.service.Class != service.Bulk {
		to.health.Success(l)
	}
}

func (s *Granted) release(to *sendRow, long bool) {
	if long {
		to.upstream.Pinned.Release()
		to.upstream.Refresh()
		return
	}
	to.upstream.Release()
}

// pin takes a slow slot for a long request.
func (s *Granted) pin(r requestIndex) bool {
	var best *sendRow
	for _, row := range s.rows.All() {
		if row.leaving || !row.health.Open() || row.upstream.Pinned.Free() == 0 {
			continue
		}
		if best == nil || row.upstream.Pinned.Free() > best.upstream.Pinned.Free() {
			best = row
		}
	}
	if best == nil || !best.upstream.Pinned.Take(s.world.requests[r].deadline) {
		return false
	}
	s.send(r, best)
	return true
}

// Step starts what waits, as far as slots are free.
func (s *Granted) Step() {
	now := s.world.now.Millis()
	for i := len(s.kept) - 1; i >= 0; i-- {
		if k := s.kept[i]; now > k.until {
			s.release(k.row, k.long)
			s.kept = append(s.kept[:i], s.kept[i+1:]...)
		}
	}
	s.startLong()
	for more := s.queue.Len() > 0; more; {
		more = s.startNext(now)
	}
}

func (s *Granted) startLong() {
	for len(s.long) > 0 {
		r := s.long[0]
		if !s.world.requests[r].closed && !s.pin(r) {
			return
		}
		s.long = s.long[1:]
	}
}

// startNext starts, refuses or drops the next request that waits, and reports
// whether there was one to handle.
func (s *Granted) startNext(now clock.Millis) bool {
	if item := s.queue.Expired(now, queue.Capacity{}); item != nil {
		s.drop(item)
		s.world.answer(item.Value, verdict.DidNotRun, -1)
		return true
	}
	c := s.capacity(&s.world.requests[0])
	item := s.queue.Next(s.bulk, c)
	if item == nil {
		return false
	}
	if s.world.requests[item.Value].closed {
		s.drop(item)
		return true
	}
	if !s.choose(item.Value, route.Query{}) {
		return false
	}
	s.drop(item)
	return true
}

func (s *Granted) drop(item *queue.Item[requestIndex]) {
	s.queue.Remove(item)
	delete(s.items, item.Value)
}

// Tick runs the control systems of the request path.
func (s *Granted) Tick() {
	now := s.world.now.Millis()
	changed := false
	local := make([]*route.Health, 0, s.rows.Len())
	for address, row := range s.rows.All() {
		changed = route.Judge(&row.health, now) || changed
		if leaving := s.world.listed.Get(address) != nil; leaving != row.leaving {
			row.leaving, changed = leaving, true
		}
		if row.upstream.DataCentre == s.process.DataCentre {
			local = append(local, &row.health)
		}
	}
	changed = route.Eject(local, now) || changed
	for _, row := range s.rows.All() {
		row.upstream.SetLatency(row.health.Latency)
		row.upstream.SetLimit(row.health.Limit(row.slots, now))
		row.upstream.SetTrial(row.health.Phase == route.Trial)
	}
	for _, samples := range s.samples {
		samples.Publish()
	}
	waiting := s.queue.LenOf(service.Urgent) + s.queue.LenOf(service.Standard)
	s.pressure = s.demand.Update(now, s.active+waiting, waiting)
	s.grants(now)
	if changed {
		s.rebuild()
	}
}

// grants splits the slots of each upstream evenly over the processes of its
// data centre.
func (s *Granted) grants(clock.Millis) {
	share := map[unit.DataCentre]unit.Slots{}
	for _, p := range s.world.processes {
		share[p.DataCentre]++
	}
	for _, row := range s.rows.All() {
		if row.upstream.DataCentre != s.process.DataCentre {
			continue
		}
		n := row.slots / share[row.upstream.DataCentre]
		row.upstream.Slots.Hold(n-n/2, clock.Never)
		row.upstream.Pinned.Hold(n/2, clock.Never)
		row.upstream.Refresh()
	}
}
