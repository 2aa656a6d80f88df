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

// curveWidth is the width of the buckets of latency curves.
const curveWidth = 250 * clock.Millisecond

// baseline is a plain scheme that runs beside.
type baseline struct {
	name  string
	start traffic.Start
}

var trafficBaselines = []baseline{
	{"roundRobin", traffic.NewPlain[route.RoundRobin]},
	{"leastConnections", traffic.NewPlain[route.LeastConnections]},
}

// traffic replays the requests of t with the decision code and the baselines.
func (r *Result) traffic(t *trace.Trace) error {
	w, err := traffic.Replay(t, traffic.NewGranted)
	if err != nil {
		return err
	}
	alone, err := withoutLong(t)
	if err != nil {
		return err
	}
	r.requestFigures(w, alone)
	r.invariants(&w.Ledger)
	plots := newTrafficPlots(w)
	plots.add("mimosadock", w)
	for _, b := range trafficBaselines {
		bw, err := traffic.Replay(t, b.start)
		if err != nil {
			return err
		}
		r.besideRequests(b.name, bw)
		plots.add(b.name, bw)
	}
	r.Plots = append(r.Plots, plots.list()...)
	return nil
}

// withoutLong replays t without the requests of long services. It returns nil
// if there are none.
func withoutLong(t *trace.Trace) (*traffic.World, error) {
	long := func(e trace.Event) bool {
		return e.What == trace.Request && t.Header.Deployment.ServiceOf(e.Service).Class == service.Long
	}
	if !slices.ContainsFunc(t.Events, long) {
		return nil, nil
	}
	short := &trace.Trace{Header: t.Header, Events: slices.DeleteFunc(slices.Clone(t.Events), long)}
	return traffic.Replay(short, traffic.NewGranted)
}

func (r *Result) requestFigures(w, alone *traffic.World) {
	for _, s := range w.Services() {
		name, all := string(s.Name), w.Latencies(s.Name, traffic.Whole)
		if len(all) == 0 {
			continue
		}
		p99 := traffic.Percentile(all, 99)
		r.Figures.Put(name+".p99", p99)
		r.Figures.Put(name+".p999", traffic.Percentile(all, 99.9))
		if peak := w.Latencies(s.Name, traffic.Peak); len(peak) > 0 {
			at := traffic.Percentile(peak, 99)
			r.Figures.Put(name+".peak.p99", at)
			r.Figures.Put(name+".peak.p999", traffic.Percentile(peak, 99.9))
			r.Figures.Put(name+".peak.p99ToQuiet", at/traffic.Percentile(w.Latencies(s.Name, traffic.Quiet), 99))
		}
		if alone != nil && s.Class == service.Urgent {
			r.Figures.Put(name+".p99ToWithoutLong", p99/traffic.Percentile(alone.Latencies(s.Name, traffic.Whole), 99))
		}
		c := w.CountsOf(s.Name)
		r.Figures.Put(name+".wholePercent", 100*float64(c.Whole)/float64(c.Sent))
		r.Figures.Put(name+".refused", float64(c.Refused))
		r.Figures.Put(name+".unknown", float64(c.Unknown))
	}
	r.Figures.Put("urgent.refusedBeforeBulk", float64(w.RefusedBeforeBulk()))
}

func (r *Result) besideRequests(baseline string, w *traffic.World) {
	for _, s := range w.Services() {
		name, all := string(s.Name), w.Latencies(s.Name, traffic.Whole)
		if len(all) == 0 {
			continue
		}
		r.Figures.Beside(name+".p99", baseline, traffic.Percentile(all, 99))
		r.Figures.Beside(name+".p999", baseline, traffic.Percentile(all, 99.9))
		if peak := w.Latencies(s.Name, traffic.Peak); len(peak) > 0 {
			at := traffic.Percentile(peak, 99)
			r.Figures.Beside(name+".peak.p99", baseline, at)
			r.Figures.Beside(name+".peak.p999", baseline, traffic.Percentile(peak, 99.9))
			r.Figures.Beside(name+".peak.p99ToQuiet", baseline, at/traffic.Percentile(w.Latencies(s.Name, traffic.Quiet), 99))
		}
		c := w.CountsOf(s.Name)
		r.Figures.Beside(name+".wholePercent", baseline, 100*float64(c.Whole)/float64(c.Sent))
	}
	for i := invariant.Capacity; i <= invariant.Adopted; i++ {
		if w.Ledger.Checks(i) > 0 {
			r.Figures.Beside(i.String()+".violations", baseline, float64(w.Ledger.Count(i)))
		}
	}
}

// trafficPlots are the plots of requests.
type trafficPlots struct {
	latency []Plot
	running Plot
	waiting Plot
}

func newTrafficPlots(w *traffic.World) *trafficPlots {
	p := &trafficPlots{
		running: Plot{Title: "Requests given to upstreams", Unit: "requests"},
		waiting: Plot{Title: "Requests waiting at entry processes", Unit: "requests"},
	}
	for _, s := range w.Services() {
		if s.Class != service.Long {
			p.latency = append(p.latency, Plot{Title: "p99 of " + string(s.Name), Unit: "ms"})
		}
	}
	return p
}

func (p *trafficPlots) add(name string, w *traffic.World) {
	i := 0
	for _, s := range w.Services() {
		if s.Class == service.Long {
			continue
		}
		c := Curve{Name: name}
		for _, b := range w.Curve(s.Name, 99, curveWidth) {
			c.Points = append(c.Points, Point{seconds(b.At), b.Value})
		}
		p.latency[i].Curves = append(p.latency[i].Curves, c)
		i++
	}
	running, waiting := Curve{Name: name}, Curve{Name: name}
	for _, s := range w.Samples() {
		running.Points = append(running.Points, Point{seconds(s.At), float64(s.Given)})
		waiting.Points = append(waiting.Points, Point{seconds(s.At), float64(s.Waiting)})
	}
	p.running.Curves = append(p.running.Curves, running)
	p.waiting.Curves = append(p.waiting.Curves, waiting)
}

func (p *trafficPlots) list() []Plot { return append(slices.Clone(p.latency), p.running, p.waiting) }

func seconds(m clock.Millis) float64 { return float64(m) / float64(clock.Second) }
