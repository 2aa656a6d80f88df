package route

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// View is what the request path knows of the services. It must not be changed
// after publication.
type View struct {
	Targets map[unit.Service]*Target
}

// Target is a service with the upstreams that may get its requests now.
type Target struct {
	Service   *service.Service
	Team      *service.Team // may be nil
	Groups    []*Group      // one a data centre; the own one first
	Upstreams []*Upstream   // of all groups, in their order
	Stats     *Stats        // observed times of the service; may be nil
}

// Group is the upstreams of one set in one data centre that are open to new
// requests. Services with the same upstream set share it.
type Group struct {
	DataCentre    unit.DataCentre
	Local         bool       // in the data centre of this process
	OneWayLatency clock.Span // one-way latency
	upstreams     []*Upstream
	free          bitmap // indices of upstreams that may have a free slot
}

// groupPosition is the place of an upstream in its current group.
type groupPosition struct {
	group *Group
	index int
}

// NewGroup returns a group of the given upstreams. Releases of their slots are
// seen by this group from then on, no longer by an earlier one.
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

// updateFree marks whether upstream i has a free slot. It must follow every take,
// failed ones too: a failing take makes the upstream look full for a moment, in
// which a release may have left the mark unset. The second look keeps a release
// that happens at the same time from being lost.
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
	Except   [MaxExcept]*Upstream // not to be chosen: they had earlier attempts
}

// MaxExcept is the most upstreams that a query can exclude.
const MaxExcept = 3

func (q *Query) excludes(u *Upstream) bool {
	return u == q.Except[0] || u == q.Except[1] || u == q.Except[2]
}

// Choose takes a slot for q on an upstream of t by the [Cost] policy. Another
// data centre is used when the slots of the own one are full and the deadline
// allows the way there and back.
func (t *Target) Choose(q Query) (*Upstream, Outcome) {
	return Chooser[Cost]{}.Choose(t, q)
}

// canReach reports whether the remaining time of q suffices for the way to a
// group and back and the p99 of the service.
func (t *Target) canReach(g *Group, q *Query) bool {
	var p99 clock.Span
	if t.Stats != nil {
		p99 = t.Stats.P99().Span()
	}
	return g.Local || q.Deadline.Sub(q.Now) > 2*g.OneWayLatency+p99
}
