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

// smallTrace returns a trace with n requests, two entry hosts, two upstreams
// with two slots each, and the given other events. Every fourth request is
// idempotent.
func smallTrace(n int, others ...trace.Event) *trace.Trace {
	t := &trace.Trace{Header: trace.Header{Length: 10_000}}
	d := &t.Header.Deployment
	d.DataCentres, d.ClientDelay, d.DataCentreDelay = []unit.DataCentre{"kelso"}, 1000, 500
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
		e := trace.Event{At: 5000, Type: trace.Request, Entry: trace.EntryIndex(i % 2), Service: "weigh", RunTime: 400}
		if i%4 == 3 {
			e.Service = "lookup"
		}
		t.Events = append(t.Events, e)
	}
	return t
}

// faultyScheme wraps a scheme and violates an invariant. attemptEnded replaces
// the handler of outcomes, and tick runs after each tick of the scheme. In a
// test case, a Scheme other than nil selects a baseline in place of the faulty
// scheme.
type faultyScheme struct {
	Scheme
	sim          *Simulation
	process      *processRow
	attemptEnded func(s *faultyScheme, a attemptIndex)
	tick         func(s *faultyScheme)
}

func (s *faultyScheme) membershipCoordinator() *coordinator {
	return &s.Scheme.(*EntryScheme).coordinator
}

func (s *faultyScheme) AttemptEnded(a attemptIndex) {
	if s.attemptEnded != nil {
		s.attemptEnded(s, a)
		return
	}
	s.Scheme.AttemptEnded(a)
}

func (s *faultyScheme) Tick() {
	s.Scheme.Tick()
	if s.tick != nil {
		s.tick(s)
	}
}

// Guards against invariant checks that never fail. The decision code passes each
// trace, and the ledger reports a scheme that violates an invariant.
func TestReplayDetectsViolations(t *testing.T) {
	down := trace.Event{At: 4000, Type: trace.UpstreamDown, Upstream: "10.0.1.0:80"}
	up := trace.Event{At: 4001, Type: trace.UpstreamUp, Upstream: "10.0.1.0:80"}
	tests := map[string]struct {
		trace  *trace.Trace
		broken faultyScheme
		want   invariant.Invariant
	}{
		"sends beyond the slots": {trace: smallTrace(24), want: invariant.Capacity, broken: faultyScheme{
			Scheme: (*Baseline[route.RoundRobin])(nil),
		}},
		"sends to a leaving upstream": {
			trace: smallTrace(8, trace.Event{At: 100, Type: trace.UpstreamLeave, Upstream: "10.0.1.0:80"}),
			want:  invariant.LeavingUpstream, broken: faultyScheme{Scheme: (*Baseline[route.RoundRobin])(nil)},
		},
		"answers with the answer of another request": {trace: smallTrace(8, down, up), want: invariant.CorrectAnswer, broken: faultyScheme{
			attemptEnded: func(s *faultyScheme, a attemptIndex) {
				s.sim.answer(s.sim.attempts[a].request, verdict.Ran, (a+1)%attemptIndex(len(s.sim.attempts)))
			},
		}},
		"reports work that ran as not run": {trace: smallTrace(8), want: invariant.NotRunVerdict, broken: faultyScheme{
			attemptEnded: func(s *faultyScheme, a attemptIndex) { s.sim.answer(s.sim.attempts[a].request, verdict.DidNotRun, -1) },
		}},
		"repeats requests that are not idempotent": {trace: smallTrace(8), want: invariant.AtMostOnce, broken: faultyScheme{
			attemptEnded: func(s *faultyScheme, a attemptIndex) {
				if r := s.sim.attempts[a].request; s.sim.requests[r].attemptsSent == 1 {
					s.sim.sendAttempt(r, s.sim.attempts[a].upstream.Address)
				}
			},
		}},
		"cuts off requests on shutdown": {
			trace: smallTrace(8, trace.Event{At: 5100, Type: trace.EntryLeave}),
			want:  invariant.GracefulDrain, broken: faultyScheme{tick: func(s *faultyScheme) {
				for i := range s.sim.requests {
					if s.process.leaving && s.sim.requests[i].process == s.process {
						s.sim.answer(requestIndex(i), verdict.MayHaveRun, -1)
					}
				}
			}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			slices.SortStableFunc(tc.trace.Events, func(a, b trace.Event) int { return cmp.Compare(a.At, b.At) })
			sim, err := Replay(tc.trace, NewEntryScheme)
			is.NoErr(err)
			for i := invariant.Capacity; i <= invariant.RevisionAdoption; i++ {
				is.Equal(sim.Ledger.ViolationCount(i), 0)
			}
			is.True(sim.Ledger.CheckCount(tc.want) > 0)
			sim, err = Replay(tc.trace, func(sim *Simulation, p *processRow) Scheme {
				s := tc.broken
				s.sim, s.process = sim, p
				if s.Scheme != nil {
					return NewBaseline[route.RoundRobin](sim, p)
				}
				s.Scheme = NewEntryScheme(sim, p)
				return &s
			})
			is.NoErr(err)
			is.True(sim.Ledger.ViolationCount(tc.want) > 0)
		})
	}
}

// Guards against percentiles that are off by one rank.
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
