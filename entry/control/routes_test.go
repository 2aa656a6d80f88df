package control

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

const remoteAddress = "10.0.1.0:80"

func upstreamAddress(i int) unit.Upstream { return unit.Upstream(fmt.Sprintf("10.0.0.%d:80", i)) }

// routeText returns a text with the upstreams first to n-1 in kelso and one
// upstream in hawick.
func routeText(first, n int) *service.Text {
	members := fmt.Sprintf("{address: %q, dataCentre: hawick}", remoteAddress)
	for i := first; i < n; i++ {
		members += fmt.Sprintf(", {address: %q, dataCentre: kelso}", upstreamAddress(i))
	}
	text, err := service.Parse([]byte(`version: 1
dataCentres: [{name: kelso, region: lowland}, {name: hawick, region: lowland}]
teams: [{name: marts}]
upstreamSets: [{name: weighbook, slots: 8, members: [` + members + `]}]
services: [{name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true}]
`))
	if err != nil {
		panic("control: invalid services text in a test")
	}
	return text
}

// newRouteLoop returns a loop with n local upstreams.
func newRouteLoop(n int) (*Loop, *clock.Manual) {
	now := new(clock.Manual)
	l := New(now, Self{DataCentre: "kelso"}, RouteSystems()...)
	SetText{Revision: 1, Text: routeText(0, n)}.Apply(&l.state, 0)
	tick(l, now, 1)
	return l, now
}

func tick(l *Loop, now *clock.Manual, n int) {
	for range n {
		now.Advance(TickInterval)
		l.RunTick()
	}
}

func isOpen(l *Loop, u unit.Upstream) bool {
	for _, c := range l.View().Routes.Targets["lookup"].Upstreams {
		if c.Address == u {
			return true
		}
	}
	return false
}

// applyOutcomes applies n outcomes for each upstream. The latency is in
// milliseconds.
func applyOutcomes(l *Loop, now *clock.Manual, n, upstreams int, latency func(i int) route.Latency) {
	for range n {
		for i := range upstreams {
			AttemptOutcome{Upstream: upstreamAddress(i), Service: "lookup", Latency: 1000 * latency(i), InFlight: 1}.Apply(&l.state, now.Now())
		}
	}
}

// Guards against requests to an upstream that fails, is slow, is leaving or is
// no longer in the text, and against the removal of a healthy upstream.
func TestUpstreamIsExcluded(t *testing.T) {
	tests := map[string]struct {
		act      func(l *Loop, now *clock.Manual)
		wantOpen bool
	}{
		"healthy": {func(l *Loop, now *clock.Manual) {
			applyOutcomes(l, now, 50, 10, func(int) route.Latency { return 4 })
		}, true},
		"fails": {func(l *Loop, now *clock.Manual) {
			for range 5 {
				AttemptOutcome{Upstream: upstreamAddress(0), Service: "lookup", Failed: true}.Apply(&l.state, now.Now())
			}
		}, false},
		"fails occasionally": {func(l *Loop, now *clock.Manual) {
			for i := range 20 {
				AttemptOutcome{Upstream: upstreamAddress(0), Service: "lookup", Failed: i%4 != 0}.Apply(&l.state, now.Now())
			}
		}, true},
		"slow": {func(l *Loop, now *clock.Manual) {
			for range 2 {
				applyOutcomes(l, now, 30, 10, func(i int) route.Latency {
					if i == 0 {
						return 20
					}
					return 4
				})
				tick(l, now, 20) // the median of the service is available after 1 s
			}
		}, false},
		"leaving": {func(l *Loop, now *clock.Manual) {
			SetLeaving{Upstream: upstreamAddress(0), Leaving: true}.Apply(&l.state, now.Now())
		}, false},
		"leaving is revoked": {func(l *Loop, now *clock.Manual) {
			SetLeaving{Upstream: upstreamAddress(0), Leaving: true}.Apply(&l.state, now.Now())
			SetLeaving{Upstream: upstreamAddress(0)}.Apply(&l.state, now.Now())
		}, true},
		"leaving before a new list": {func(l *Loop, now *clock.Manual) {
			SetLeaving{Upstream: upstreamAddress(0), Leaving: true}.Apply(&l.state, now.Now())
			SetListedUpstreams{Set: "weighbook", Upstreams: []service.Member{{Address: upstreamAddress(0), DataCentre: "kelso"}}}.Apply(&l.state, now.Now())
		}, false},
		"no longer in the text": {func(l *Loop, now *clock.Manual) {
			SetText{Revision: 2, Text: routeText(1, 10)}.Apply(&l.state, now.Now())
		}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, now := newRouteLoop(10)
			is.True(isOpen(l, upstreamAddress(0)))
			tc.act(l, now)
			tick(l, now, 1)
			is.Equal(isOpen(l, upstreamAddress(0)), tc.wantOpen)
			is.True(isOpen(l, upstreamAddress(1)))
			is.True(isOpen(l, remoteAddress))
		})
	}
}

// Guards against an ejected upstream that stays ejected, and against one that
// receives non-idempotent requests before a trial has succeeded.
func TestUpstreamIsReadmitted(t *testing.T) {
	is := is.New(t)
	l, now := newRouteLoop(10)
	u := l.state.upstreams.Get(upstreamAddress(0)).upstream
	for range 5 {
		AttemptOutcome{Upstream: upstreamAddress(0), Failed: true}.Apply(&l.state, now.Now())
	}
	tick(l, now, 1)
	is.True(!isOpen(l, upstreamAddress(0)))
	tick(l, now, 41) // just over the 2 s of the first ejection
	is.True(isOpen(l, upstreamAddress(0)))
	is.Equal(u.Limit(), unit.Slots(1))
	for range 3 {
		AttemptOutcome{Upstream: upstreamAddress(0), Service: "lookup", Latency: 1000}.Apply(&l.state, now.Now())
	}
	tick(l, now, 1)
	is.Equal(u.Limit(), unit.Slots(1))
	tick(l, now, 100) // 5 s, half of the slow start
	is.True(u.Limit() > 2 && u.Limit() < 8)
	tick(l, now, 101) // to the end of the slow start
	is.Equal(u.Limit(), unit.Slots(0))
}

// Guards against a new upstream that receives its full share at once, and
// against a slow start of all upstreams when the process starts.
func TestSlowStartOfNewUpstreams(t *testing.T) {
	is := is.New(t)
	l, now := newRouteLoop(1)
	SetListedUpstreams{Set: "weighbook", Upstreams: []service.Member{{Address: "new", DataCentre: "kelso"}}}.Apply(&l.state, now.Now())
	tick(l, now, 1)
	is.Equal(l.state.upstreams.Get(upstreamAddress(0)).upstream.Limit(), unit.Slots(0))
	is.Equal(l.state.upstreams.Get("new").upstream.Limit(), unit.Slots(1))
}

// Guards against a load report that never expires.
func TestLoadReportExpires(t *testing.T) {
	is := is.New(t)
	l, now := newRouteLoop(1)
	u := l.state.upstreams.Get(upstreamAddress(0)).upstream
	u.RecordLoad(7)
	AttemptOutcome{Upstream: upstreamAddress(0), Service: "lookup", Latency: 1000, LoadReported: true}.Apply(&l.state, now.Now())
	tick(l, now, 10)
	is.Equal(u.EstimatedInFlight(), int64(7))
	tick(l, now, 12) // past the maximum age of 1 s
	is.Equal(u.EstimatedInFlight(), int64(0))
}

// Guards against a state dump that lacks the decisions about an upstream.
func TestDump(t *testing.T) {
	is := is.New(t)
	l, now := newRouteLoop(2)
	reply := make(chan *Dump, 1)
	GetDump{reply}.Apply(&l.state, now.Now())
	d := <-reply
	is.Equal(len(d.Upstreams), 3)
	is.Equal(d.Upstreams[0].Phase, route.Steady)
	is.Equal(d.Services[0].Name, unit.Service("lookup"))
}
