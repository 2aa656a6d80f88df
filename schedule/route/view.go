package route

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// View is the routing table of the request path. It must not be changed after
// publication.
type View struct {
	Targets map[unit.Service]*Target
}

// Target is a service with the upstreams that may currently get its requests.
type Target struct {
	Service   *service.Service
	Team      *service.Team // may be nil
	Groups    []*Group      // one per data centre; that of this process first
	Upstreams []*Upstream   // of all groups, in the order of the groups
	Stats     *Stats        // latencies of the service; may be nil
}

// Group contains the upstreams of one set in one data centre that accept new
// requests. Services with the same upstream set share a group.
type Group struct {
	DataCentre    unit.DataCentre
	Local         bool       // in the data centre of this process
	OneWayLatency clock.Span // to the data centre of the group
	upstreams     []*Upstream
	free          bitmap // indices of upstreams that may have a free slot
}

// groupPosition is the position of an upstream in its current group.
type groupPosition struct {
	group *Group
	index int
}

// NewGroup returns a group of the given upstreams. From then on, a release of a
// slot updates this group and no longer the previous group of the upstream.
func NewGroup(dc unit.DataCentre, local bool, oneWayLatency clock.Span, upstreams []*Upstream) *Group {
	g := &Group{DataCentre: dc, Local: local, OneWayLatency: oneWayLatency, upstreams: upstreams, free: newBitmap(len(upstreams))}
	for i, u := range upstreams {
		u.position.Store(&groupPosition{group: g, index: i})
		u.Refresh()
	}
	return g
}

// Upstreams returns the upstreams of g. They must not be changed.
func (g *Group) Upstreams() []*Upstream { return g.upstreams }

// updateFree updates the mark that upstream i has a free slot. It must be called
// after every take, including a failed one. A failing take makes the upstream
// appear full for a short time, and a concurrent release may then leave the mark
// unset. The second check prevents the loss of a concurrent release.
func (g *Group) updateFree(i int) {
	u := g.upstreams[i]
	if !u.hasFreeSlot() {
		g.free.clear(i)
	}
	if u.hasFreeSlot() {
		g.free.set(i)
	}
}

// Query describes a request that needs an upstream.
type Query struct {
	Now      clock.Millis
	Deadline clock.Millis
	Excluded [MaxExcluded]*Upstream // must not be chosen, because they had earlier attempts; nil entries are unused
}

// MaxExcluded is the maximum number of upstreams that a query can exclude.
const MaxExcluded = 3

// excludes reports whether q must not use u.
func (q *Query) excludes(u *Upstream) bool {
	return u == q.Excluded[0] || u == q.Excluded[1] || u == q.Excluded[2]
}

// Choose takes a slot for q on an upstream of t by the [ExpectedTime] policy.
// It uses another data centre if no slot of the own data centre can be taken
// and the deadline allows the round trip.
func (t *Target) Choose(q Query) (*Upstream, Outcome) {
	return Chooser[ExpectedTime]{}.Choose(t, q)
}

// canReach reports whether g is local or the time to the deadline of q is longer
// than the round trip to g plus the p99 latency of the service.
func (t *Target) canReach(g *Group, q *Query) bool {
	var p99 clock.Span
	if t.Stats != nil {
		p99 = t.Stats.P99().Span()
	}
	return g.Local || q.Deadline.Sub(q.Now) > 2*g.OneWayLatency+p99
}
