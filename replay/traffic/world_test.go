package traffic

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// small returns a trace of n orders and checks at two entry hosts before two
// upstreams with two slots each, and the given other events.
func small(n int, others ...trace.Event) *trace.Trace {
	t := &trace.Trace{Header: trace.Header{Length: 10_000}}
	d := &t.Header.Deployment
	d.DataCentres, d.Client, d.Between = []unit.DataCentre{"kelso"}, 1000, 500
	d.Services = []trace.Service{
		{Name: "lookup", Class: service.Urgent, Deadline: 2000, Idempotent: true},
		{Name: "weigh", Class: service.Standard, Deadline: 2000},
	}
	for i := range 2 {
		d.Entries = append(d.Entries, trace.Entry{Host: unit.Host(fmt.Sprintf("10.0.0.%d", i)), DataCentre: "kelso"})
		d.Upstreams = append(d.Upstreams, trace.Upstream{
			Address: unit.Upstream(fmt.Sprintf("10.0.1.%d:80", i)), DataCentre: "kelso", Slots: 2, Connections: 60,
		})
	}
	t.Events = append(t.Events, others...)
	for i := range n {
		e := trace.Event{At: 5000, What: trace.Request, Entry: trace.EntryIndex(i % 2), Service: "weigh", Run: 400}
		if i%4 == 3 {
			e.Service = "lookup"
		}
		t.Events = append(t.Events, e)
	}
	return t
}

// broken is a scheme that breaks one rule.
type broken struct {
	Scheme
	world   *World
	process *processRow
	ended   func(s *broken, a attemptIndex)
	tick    func(s *broken)
}

func (s *broken) connected() *peer { return &s.Scheme.(*Granted).peer }

func (s *broken) Ended(a attemptIndex) {
	if s.ended != nil {
		s.ended(s, a)
		return
	}
	s.Scheme.Ended(a)
}

func (s *broken) Tick() {
	s.Scheme.Tick()
	if s.tick != nil {
		s.tick(s)
	}
}

// Guards against invariant checks that can't fail: the decision code passes
// each trace, and a scheme that breaks one rule is found.
func TestReplayFindsBrokenRules(t *testing.T) {
	down := trace.Event{At: 4000, What: trace.UpstreamDown, Upstream: "10.0.1.0:80"}
	up := trace.Event{At: 4001, What: trace.UpstreamUp, Upstream: "10.0.1.0:80"}
	tests := map[string]struct {
		trace  *trace.Trace
		broken broken
		want   invariant.Invariant
	}{
		"sends beyond the slots": {trace: small(24), want: invariant.Capacity, broken: broken{
			Scheme: (*Plain[route.RoundRobin])(nil),
		}},
		"sends to a leaving upstream": {
			trace: small(8, trace.Event{At: 100, What: trace.UpstreamLeave, Upstream: "10.0.1.0:80"}),
			want:  invariant.LeavingEmpty, broken: broken{Scheme: (*Plain[route.RoundRobin])(nil)},
		},
		"gives the answer of another request": {trace: small(8, down, up), want: invariant.OwnAnswer, broken: broken{
			ended: func(s *broken, a attemptIndex) {
				s.world.answer(s.world.attempts[a].request, verdict.Ran, (a+1)%attemptIndex(len(s.world.attempts)))
			},
		}},
		"reports work that ran as not run": {trace: small(8), want: invariant.NotRun, broken: broken{
			ended: func(s *broken, a attemptIndex) { s.world.answer(s.world.attempts[a].request, verdict.DidNotRun, -1) },
		}},
		"repeats orders": {trace: small(8), want: invariant.AtMostOnce, broken: broken{
			ended: func(s *broken, a attemptIndex) {
				if r := s.world.attempts[a].request; s.world.requests[r].tries == 1 {
					s.world.send(r, s.world.attempts[a].to.Address)
				}
			},
		}},
		"cuts requests off when it shuts down": {
			trace: small(8, trace.Event{At: 5100, What: trace.EntryLeave}),
			want:  invariant.WholeDrain, broken: broken{tick: func(s *broken) {
				for i := range s.world.requests {
					if s.process.leaving && s.world.requests[i].process == s.process {
						s.world.answer(requestIndex(i), verdict.MayHaveRun, -1)
					}
				}
			}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			slices.SortStableFunc(tc.trace.Events, func(a, b trace.Event) int { return cmp.Compare(a.At, b.At) })
			w, err := Replay(tc.trace, NewGranted)
			is.NoErr(err)
			for i := invariant.Capacity; i <= invariant.Adopted; i++ {
				is.Equal(w.Ledger.Count(i), 0)
			}
			is.True(w.Ledger.Checks(tc.want) > 0)
			w, err = Replay(tc.trace, func(w *World, p *processRow) Scheme {
				s := tc.broken
				s.world, s.process = w, p
				if s.Scheme != nil {
					return NewPlain[route.RoundRobin](w, p)
				}
				s.Scheme = NewGranted(w, p)
				return &s
			})
			is.NoErr(err)
			is.True(w.Ledger.Count(tc.want) > 0)
		})
	}
}

// Guards against figures that improve when work is refused.
func TestPercentiles(t *testing.T) {
	tests := map[string]struct {
		values  []float64
		percent float64
		want    float64
	}{
		"one":         {[]float64{3}, 99, 3},
		"median":      {[]float64{1, 2, 3, 4}, 50, 2},
		"p99 of 100":  {sequence(100), 99, 99},
		"p999 of 100": {sequence(100), 99.9, 100},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(Percentile(tc.values, tc.percent), tc.want)
		})
	}
}

func sequence(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = float64(i + 1)
	}
	return out
}
