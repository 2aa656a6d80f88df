package control

import (
	"expvar"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/limit"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

var (
	ejections = expvar.NewInt("control.ejections") // evaluations of a group in which upstreams were ejected
	trials    = expvar.NewInt("control.trials")    // trials of ejected upstreams that began or failed
)

// upstreamRow is one upstream of an upstream set.
type upstreamRow struct {
	set      string
	slots    unit.Slots // total of the upstream, including slots held by other processes
	upstream *route.Upstream
	health   route.Health
	adaptive limit.AdaptiveLimit
	stats    windowStats
	leaving  bool
	unlisted bool // in neither the text nor the list of hosts
}

// windowStats summarises the outcomes at an upstream since the last tick.
type windowStats struct {
	responses    int
	slownessSum  route.Slowness // sum over the responses
	peakInFlight unit.Slots
}

// groupKey identifies the upstreams of one set in one data centre.
type groupKey struct {
	set        string
	dataCentre unit.DataCentre
}

// routeState holds the tables of the request path.
type routeState struct {
	upstreams         table.Table[unit.Upstream, upstreamRow]
	groups            table.Table[groupKey, []unit.Upstream]
	services          table.Table[unit.Service, route.Samples]
	listedUpstreams   table.Table[string, []service.Member] // by upstream set
	leaving           table.Table[unit.Upstream, bool]
	routeRevision     unit.Revision
	upstreamsOutdated bool // UpstreamSystem must update the rows
	routesOutdated    bool // RouteSystem must rebuild the view
	lastStats         clock.Millis
}

// statsInterval is the time between two computations of the percentiles of the
// services.
const statsInterval = clock.Second

// OneWayLatency is the assumed one-way latency between two data centres.
const OneWayLatency = 2 * clock.Millisecond

// SetListedUpstreams sets the upstreams of a set that come from the list of
// hosts. They are used in addition to the fixed upstreams of the services text.
type SetListedUpstreams struct {
	Set       string
	Upstreams []service.Member
}

// Apply stores the upstreams and requests a tick.
func (m SetListedUpstreams) Apply(s *State, _ clock.Millis) {
	s.listedUpstreams.Put(m.Set, m.Upstreams)
	s.upstreamsOutdated = true
	s.RequestTick()
}

// SetLeaving marks an upstream as leaving or removes the mark. A leaving
// upstream receives no new requests from the next view on. The view is
// published right after the message.
type SetLeaving struct {
	Upstream unit.Upstream
	Leaving  bool
}

// Apply updates the mark. The mark of an unknown upstream is kept until the
// upstream is added.
func (m SetLeaving) Apply(s *State, _ clock.Millis) {
	if m.Leaving {
		s.leaving.Put(m.Upstream, true)
	} else {
		s.leaving.Delete(m.Upstream)
	}
	if row := s.upstreams.Get(m.Upstream); row != nil && row.leaving != m.Leaving {
		row.leaving = m.Leaving
		s.routesOutdated = true
		s.RequestTick()
	}
}

// AttemptOutcome is the result of one attempt, as a request goroutine observed it.
type AttemptOutcome struct {
	Upstream      unit.Upstream
	Service       unit.Service
	Class         service.Class
	Latency       route.Latency // from the start of the attempt to the header of the response
	Failed        bool          // counts as a failure of the upstream
	LoadReported  bool          // the response contained a load report
	InFlight      unit.Slots    // requests of this process at the upstream, including this one
	EstimatedLoad int64         // requests of all processes at the upstream; see [route.Upstream.EstimatedInFlight]
}

// Apply adds the outcome to the rows of the upstream and of the service.
// Outcomes of unknown upstreams are ignored.
func (m AttemptOutcome) Apply(s *State, now clock.Millis) {
	row := s.upstreams.Get(m.Upstream)
	if row == nil {
		return
	}
	row.stats.peakInFlight = max(row.stats.peakInFlight, m.InFlight)
	if m.Failed {
		row.health.Failure()
		return
	}
	if m.LoadReported {
		row.health.LoadAt = now
	}
	samples := s.services.Get(m.Service)
	if samples == nil {
		return
	}
	samples.Add(m.Latency)
	slowness := route.Slowness(0)
	if m.Class != service.Long { // the duration of a long request doesn't show how fast the upstream is
		slowness = route.SlownessOf(m.Latency, samples.Stats.P50())
	}
	row.health.Success(slowness, m.EstimatedLoad)
	if slowness > 0 {
		row.stats.responses++
		row.stats.slownessSum += slowness
	}
}

// RouteSystems returns the systems of the request path in the order in which
// they run, for a process without peers.
func RouteSystems() []System {
	return []System{UpstreamSystem, HealthSystem, EjectionSystem, LimitSystem, StatsSystem, RouteSystem}
}

// UpstreamSystem updates the rows of upstreams and services from the text and
// the list of hosts.
func UpstreamSystem(s *State, now clock.Millis) {
	if s.Text == nil || s.routeRevision == s.Revision && !s.upstreamsOutdated {
		return
	}
	initial := s.upstreams.Len() == 0
	s.routeRevision, s.upstreamsOutdated, s.routesOutdated = s.Revision, false, true
	for _, row := range s.upstreams.All() {
		row.unlisted = true
	}
	s.groups = table.Table[groupKey, []unit.Upstream]{}
	for _, set := range s.Text.UpstreamSets {
		members := set.Members
		if listed := s.listedUpstreams.Get(set.Name); listed != nil {
			members = append(members[:len(members):len(members)], *listed...)
		}
		for _, m := range members {
			s.putUpstream(&set, m, initial, now)
		}
	}
	// Rows with requests in flight stay, because the count of used slots must
	// survive if the upstream returns.
	s.upstreams.DeleteFunc(func(_ unit.Upstream, row *upstreamRow) bool {
		return row.unlisted && row.upstream.InFlight() == 0
	})
	for _, svc := range s.Text.Services {
		if row := s.services.Ensure(svc.Name); row.Stats == nil {
			row.Stats = new(route.Stats)
		}
	}
	s.services.DeleteFunc(func(n unit.Service, _ *route.Samples) bool { return s.Text.Service(n) == nil })
}

func (s *State) putUpstream(set *service.UpstreamSet, m service.Member, initial bool, now clock.Millis) {
	row := s.upstreams.Ensure(m.Address)
	if row.upstream != nil && !row.unlisted {
		return // the address is listed twice
	}
	if row.upstream == nil || row.upstream.DataCentre != m.DataCentre {
		row.upstream = &route.Upstream{Address: m.Address, DataCentre: m.DataCentre, Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		phase := route.Starting
		if initial {
			phase = route.Steady
		}
		row.health.StartPhase(phase, now)
	}
	row.set, row.slots, row.unlisted = set.Name, set.Slots, false
	if h := s.hosts.Get(string(m.Address)); h != nil && h.Slots > 0 {
		row.slots = h.Slots
	}
	row.leaving = s.leaving.Get(m.Address) != nil
	s.trackSlots(row)
	g := s.groups.Ensure(groupKey{set.Name, m.DataCentre})
	*g = append(*g, m.Address)
}

// HealthSystem moves upstreams through slow start and trial, and drops expired
// load reports.
func HealthSystem(s *State, now clock.Millis) {
	for _, row := range s.upstreams.All() {
		if route.UpdatePhase(&row.health, now) {
			s.routesOutdated = true
			trials.Add(1)
		}
		if row.health.LoadExpired(now) {
			row.upstream.ClearLoad()
		}
	}
}

// EjectionSystem ejects the failing and slow upstreams of each group.
func EjectionSystem(s *State, now clock.Millis) {
	var healths []*route.Health
	for _, addresses := range s.groups.All() {
		healths = healths[:0]
		for _, a := range *addresses {
			healths = append(healths, &s.upstreams.Get(a).health)
		}
		if route.EjectUnhealthy(healths, now) {
			s.routesOutdated = true
			ejections.Add(1)
		}
	}
}

// LimitSystem publishes the limit of each upstream to the request path. The
// limit is the lower of the adaptive limit and the limit of slow start or
// trial.
func LimitSystem(s *State, now clock.Millis) {
	var means []float64
	for _, addresses := range s.groups.All() {
		means = means[:0]
		for _, a := range *addresses {
			if m := s.upstreams.Get(a).adaptive.MeanLatency(); m > 0 {
				means = append(means, m)
			}
		}
		groupMedian := limit.Median(means)
		for _, a := range *addresses {
			s.limitUpstream(s.upstreams.Get(a), groupMedian, now)
		}
	}
}

// limitUpstream updates the limit of one upstream. Its latency is the mean
// slowness, which is relative to the median of the service, so that requests of
// different services can be compared.
func (s *State) limitUpstream(row *upstreamRow, groupMedian float64, now clock.Millis) {
	u, w := row.upstream, row.stats
	row.stats = windowStats{}
	held := u.InFlight() + u.Slots.Free() + u.Pinned.Free()
	t := limit.TickStats{Responses: w.responses, GroupMedian: groupMedian, PeakInFlight: max(w.peakInFlight, u.InFlight()), Slots: held}
	if w.responses > 0 {
		t.Latency = float64(w.slownessSum) / float64(w.responses)
	}
	bound := row.adaptive.Update(t)
	if h := row.health.Limit(row.slots, now); h > 0 && (bound == 0 || h < bound) {
		bound = h
	}
	u.SetSlownessPerRequest(row.health.SlownessPerRequest())
	u.SetTrial(row.health.Phase == route.Trial && s.hasIdempotentService(row.set))
	u.SetLimit(bound)
}

// hasIdempotentService reports whether a service of the set is idempotent, so
// that its requests can be used for trials.
func (s *State) hasIdempotentService(set string) bool {
	for i := range s.Text.Services {
		if svc := &s.Text.Services[i]; svc.UpstreamSet == set && svc.Idempotent {
			return true
		}
	}
	return false
}

// StatsSystem computes the latency percentiles of the services once per
// statsInterval.
func StatsSystem(s *State, now clock.Millis) {
	if now.Sub(s.lastStats) < statsInterval {
		return
	}
	s.lastStats = now
	for _, samples := range s.services.All() {
		samples.Publish()
	}
}

// RouteSystem rebuilds the view of the routes after upstreams were added,
// removed, ejected, readmitted or marked as leaving.
func RouteSystem(s *State, _ clock.Millis) {
	if s.Text == nil || !s.routesOutdated {
		return
	}
	s.routesOutdated = false
	groups := make(map[string][]*route.Group)
	for key, addresses := range s.groups.All() {
		g := s.openGroup(key, *addresses)
		if g.Local {
			groups[key.set] = append([]*route.Group{g}, groups[key.set]...)
		} else {
			groups[key.set] = append(groups[key.set], g)
		}
	}
	view := &route.View{Targets: make(map[unit.Service]*route.Target, len(s.Text.Services))}
	for i := range s.Text.Services {
		svc := &s.Text.Services[i]
		t := &route.Target{Service: svc, Team: s.Text.Team(svc.Team), Groups: groups[svc.UpstreamSet], Stats: s.services.Get(svc.Name).Stats}
		for _, g := range t.Groups {
			t.Upstreams = append(t.Upstreams, g.Upstreams()...)
		}
		view.Targets[svc.Name] = t
	}
	s.routes = view
}

// openGroup returns the group of those upstreams among addresses that are
// neither ejected nor leaving.
func (s *State) openGroup(key groupKey, addresses []unit.Upstream) *route.Group {
	openUpstreams := make([]*route.Upstream, 0, len(addresses))
	for _, a := range addresses {
		if row := s.upstreams.Get(a); row.health.AcceptsRequests() && !row.leaving {
			openUpstreams = append(openUpstreams, row.upstream)
		}
	}
	local := key.dataCentre == s.Self.DataCentre
	latency := OneWayLatency
	if local {
		latency = 0
	}
	return route.NewGroup(key.dataCentre, local, latency, openUpstreams)
}
