package proof

import (
	"slices"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/replay/traffic"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
)

// bucketWidth is the width of one bucket of a latency curve.
const bucketWidth = 250 * clock.Millisecond

// trafficBaseline is a named plain scheme. The same requests are replayed with it
// for comparison.
type trafficBaseline struct {
	name      string
	newScheme traffic.SchemeFunc
}

var trafficBaselines = []trafficBaseline{
	{"roundRobin", traffic.NewBaseline[route.RoundRobin]},
	{"leastConnections", traffic.NewBaseline[route.LeastConnections]},
}

// replayTraffic replays the requests of t with the decision code and the
// baselines.
func (r *Result) replayTraffic(t *trace.Trace) error {
	sim, err := traffic.Replay(t, traffic.NewEntryScheme)
	if err != nil {
		return err
	}
	withoutLong, err := replayWithoutLong(t)
	if err != nil {
		return err
	}
	r.addRequestFigures(sim, withoutLong)
	r.addInvariants(&sim.Ledger)
	plots := newTrafficPlots(sim)
	plots.add("mimosadock", sim)
	for _, b := range trafficBaselines {
		baselineSim, err := traffic.Replay(t, b.newScheme)
		if err != nil {
			return err
		}
		r.addRequestBaseline(b.name, baselineSim)
		plots.add(b.name, baselineSim)
	}
	r.Plots = append(r.Plots, plots.all()...)
	return nil
}

// replayWithoutLong replays t without the requests of long services. It returns
// nil if t has no such requests.
func replayWithoutLong(t *trace.Trace) (*traffic.Simulation, error) {
	isLong := func(e trace.Event) bool {
		return e.Type == trace.Request && t.Header.Deployment.ServiceOf(e.Service).Class == service.Long
	}
	if !slices.ContainsFunc(t.Events, isLong) {
		return nil, nil
	}
	filtered := &trace.Trace{Header: t.Header, Events: slices.DeleteFunc(slices.Clone(t.Events), isLong)}
	return traffic.Replay(filtered, traffic.NewEntryScheme)
}

func (r *Result) addRequestFigures(sim, withoutLong *traffic.Simulation) {
	for _, s := range sim.Services() {
		name, all := string(s.Name), sim.Latencies(s.Name, traffic.WholeTrace)
		if len(all) == 0 {
			continue
		}
		p99 := traffic.Percentile(all, 99)
		r.Figures.Put(name+".p99", p99)
		r.Figures.Put(name+".p999", traffic.Percentile(all, 99.9))
		if peak := sim.Latencies(s.Name, traffic.PeakOnly); len(peak) > 0 {
			peakP99 := traffic.Percentile(peak, 99)
			r.Figures.Put(name+".peak.p99", peakP99)
			r.Figures.Put(name+".peak.p999", traffic.Percentile(peak, 99.9))
			r.Figures.Put(name+".peak.p99ToQuiet", peakP99/traffic.Percentile(sim.Latencies(s.Name, traffic.WithoutPeak), 99))
		}
		if withoutLong != nil && s.Class == service.Urgent {
			r.Figures.Put(name+".p99ToWithoutLong", p99/traffic.Percentile(withoutLong.Latencies(s.Name, traffic.WholeTrace), 99))
		}
		c := sim.CountsOf(s.Name)
		r.Figures.Put(name+".wholePercent", 100*float64(c.Complete)/float64(c.Sent))
		r.Figures.Put(name+".refused", float64(c.Refused))
		r.Figures.Put(name+".unknown", float64(c.Unknown))
	}
	r.Figures.Put("urgent.refusedBeforeBulk", float64(sim.UrgentRefusedWhileBulkSent()))
}

func (r *Result) addRequestBaseline(baseline string, sim *traffic.Simulation) {
	for _, s := range sim.Services() {
		name, all := string(s.Name), sim.Latencies(s.Name, traffic.WholeTrace)
		if len(all) == 0 {
			continue
		}
		r.Figures.AddBaseline(name+".p99", baseline, traffic.Percentile(all, 99))
		r.Figures.AddBaseline(name+".p999", baseline, traffic.Percentile(all, 99.9))
		if peak := sim.Latencies(s.Name, traffic.PeakOnly); len(peak) > 0 {
			peakP99 := traffic.Percentile(peak, 99)
			r.Figures.AddBaseline(name+".peak.p99", baseline, peakP99)
			r.Figures.AddBaseline(name+".peak.p999", baseline, traffic.Percentile(peak, 99.9))
			r.Figures.AddBaseline(name+".peak.p99ToQuiet", baseline, peakP99/traffic.Percentile(sim.Latencies(s.Name, traffic.WithoutPeak), 99))
		}
		c := sim.CountsOf(s.Name)
		r.Figures.AddBaseline(name+".wholePercent", baseline, 100*float64(c.Complete)/float64(c.Sent))
	}
	for i := invariant.Capacity; i <= invariant.RevisionAdoption; i++ {
		if sim.Ledger.CheckCount(i) > 0 {
			r.Figures.AddBaseline(i.String()+".violations", baseline, float64(sim.Ledger.ViolationCount(i)))
		}
	}
}

// trafficPlots are the plots of a replay of requests.
type trafficPlots struct {
	latency     []Plot
	atUpstreams Plot
	waiting     Plot
}

func newTrafficPlots(sim *traffic.Simulation) *trafficPlots {
	plots := &trafficPlots{
		atUpstreams: Plot{Title: "Requests given to upstreams", Unit: "requests"},
		waiting:     Plot{Title: "Requests waiting at entry processes", Unit: "requests"},
	}
	for _, s := range sim.Services() {
		if s.Class != service.Long {
			plots.latency = append(plots.latency, Plot{Title: "p99 of " + string(s.Name), Unit: "ms"})
		}
	}
	return plots
}

func (p *trafficPlots) add(name string, sim *traffic.Simulation) {
	i := 0
	for _, s := range sim.Services() {
		if s.Class == service.Long {
			continue
		}
		c := Curve{Name: name}
		for _, b := range sim.LatencyCurve(s.Name, 99, bucketWidth) {
			c.Points = append(c.Points, Point{inSeconds(b.At), b.Value})
		}
		p.latency[i].Curves = append(p.latency[i].Curves, c)
		i++
	}
	running, waiting := Curve{Name: name}, Curve{Name: name}
	for _, s := range sim.Samples() {
		running.Points = append(running.Points, Point{inSeconds(s.At), float64(s.AtUpstreams)})
		waiting.Points = append(waiting.Points, Point{inSeconds(s.At), float64(s.Waiting)})
	}
	p.atUpstreams.Curves = append(p.atUpstreams.Curves, running)
	p.waiting.Curves = append(p.waiting.Curves, waiting)
}

func (p *trafficPlots) all() []Plot {
	return append(slices.Clone(p.latency), p.atUpstreams, p.waiting)
}

func inSeconds(m clock.Millis) float64 { return float64(m) / float64(clock.Second) }
