package proof

import (
	"context"

	"mimosadock/replay/invariant"
	"mimosadock/replay/trace"
	"mimosadock/replay/work"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
)

// The baselines of jobs that ratios refer to.
const (
	preemption = "preemption"
	trueSizes  = "trueSizes"
)

// workBaseline is a plain scheme that runs beside.
type workBaseline struct {
	name  string
	start work.Start
}

func workBaselines() []workBaseline {
	return []workBaseline{
		{"firstFit", work.Plain[work.FirstFit]{Sizes: work.Declared}.Open},
		{"leastLoaded", work.Plain[work.LeastLoaded]{Sizes: work.Declared}.Open},
		{preemption, work.Plain[work.LeastLoaded]{Sizes: work.Declared, Preempt: true}.Open},
		{trueSizes, work.Plain[work.BestFit]{Sizes: work.True, Preempt: true, Short: true}.Open},
	}
}

// jobs replays the jobs of t with the decision code and the baselines.
func (r *Result) jobs(t *trace.Trace) error {
	baselines := workBaselines()
	worlds := make([]*work.World, len(baselines)+1)
	var g group.Group
	for i, b := range append([]workBaseline{{"mimosadock", work.Decided{Policies: placement.Default()}.Open}}, baselines...) {
		g.Go(b.name, func(context.Context) error {
			worlds[i] = work.Replay(t, b.start)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	w := worlds[0]
	own := w.Figures()
	for name, v := range jobFigures(own) {
		r.Figures.Put(name, v)
	}
	r.invariants(&w.Ledger)
	plots := newWorkPlots()
	plots.add("mimosadock", w)
	for i, b := range baselines {
		w := worlds[i+1]
		r.besideJobs(b.name, w)
		switch f := w.Figures(); b.name {
		case preemption:
			r.Figures.Put("evictions.toPreemption", float64(own.Evictions)/float64(f.Evictions))
		case trueSizes:
			r.Figures.Put("batch.doneToTrueSizes", own.BatchInTime/f.BatchInTime)
		}
		plots.add(b.name, w)
	}
	r.Plots = append(r.Plots, plots.list()...)
	return nil
}

// jobFigures returns the figures of a world by name.
func jobFigures(f work.Figures) map[string]float64 {
	return map[string]float64{
		"urgent.start.p99":       work.Percentile(f.UrgentStarts, 99),
		"urgent.start.p999":      work.Percentile(f.UrgentStarts, 99.9),
		"urgent.start.peak.p99":  work.Percentile(f.PeakStarts, 99),
		"urgent.start.peak.p999": work.Percentile(f.PeakStarts, 99.9),
		"urgent.blockedByBatch":  f.UrgentBlocked,
		"batch.finished":         float64(f.BatchFinished),
		"batch.done":             f.BatchDone,
		"batch.doneInTime":       f.BatchInTime,
		"impossible.refused":     float64(f.Impossible),
		"tasks.failed":           float64(f.Failed),
		"evictions":              float64(f.Evictions),
		"work.lost":              f.Lost,
		"standing.gap.max":       float64(f.StandingGapMax),
		"standing.gaps":          float64(f.StandingGaps),
	}
}

func (r *Result) besideJobs(baseline string, w *work.World) {
	for name, v := range jobFigures(w.Figures()) {
		r.Figures.Beside(name, baseline, v)
	}
	for i := invariant.Capacity; i <= invariant.Adopted; i++ {
		if w.Ledger.Checks(i) > 0 {
			r.Figures.Beside(i.String()+".violations", baseline, float64(w.Ledger.Count(i)))
		}
	}
}

// workPlots are the plots of jobs.
type workPlots struct {
	urgent, batch, waiting, used, evictions Plot
}

func newWorkPlots() *workPlots {
	return &workPlots{
		urgent:    Plot{Title: "Running latency-critical tasks", Unit: "tasks"},
		batch:     Plot{Title: "Running batch tasks", Unit: "tasks"},
		waiting:   Plot{Title: "Tasks that wait", Unit: "tasks"},
		used:      Plot{Title: "Processors in use", Unit: "share"},
		evictions: Plot{Title: "Evictions", Unit: "tasks"},
	}
}

func (p *workPlots) add(name string, w *work.World) {
	curve := func(plot *Plot, value func(work.Sample) float64) {
		c := Curve{Name: name}
		for _, s := range w.Samples() {
			c.Points = append(c.Points, Point{float64(s.At) / float64(clock.Second), value(s)})
		}
		plot.Curves = append(plot.Curves, c)
	}
	curve(&p.urgent, func(s work.Sample) float64 { return float64(s.Running[service.LatencyCritical]) })
	curve(&p.batch, func(s work.Sample) float64 { return float64(s.Running[service.Batch]) })
	curve(&p.waiting, func(s work.Sample) float64 { return float64(s.Waiting) })
	curve(&p.used, func(s work.Sample) float64 { return s.Used })
	curve(&p.evictions, func(s work.Sample) float64 { return float64(s.Evictions) })
}

func (p *workPlots) list() []Plot {
	return []Plot{p.urgent, p.batch, p.waiting, p.used, p.evictions}
}
