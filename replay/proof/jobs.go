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

// Names of the job baselines that ratios refer to.
const (
	preemption  = "preemption"
	actualSizes = "trueSizes"
)

// workBaseline is a named plain scheme. The same jobs are replayed with it for
// comparison.
type workBaseline struct {
	name      string
	newScheme work.SchemeFunc
}

func workBaselines() []workBaseline {
	return []workBaseline{
		{"firstFit", work.Baseline[work.FirstFit]{SizeOf: work.DeclaredSize}.Open},
		{"leastLoaded", work.Baseline[work.LeastLoaded]{SizeOf: work.DeclaredSize}.Open},
		{preemption, work.Baseline[work.LeastLoaded]{SizeOf: work.DeclaredSize, Preempt: true}.Open},
		{actualSizes, work.Baseline[work.BestFit]{SizeOf: work.ActualSize, Preempt: true, ShortestFirst: true}.Open},
	}
}

// replayJobs replays the jobs of t with the decision code and the baselines.
func (r *Result) replayJobs(t *trace.Trace) error {
	baselines := workBaselines()
	sims := make([]*work.Simulation, len(baselines)+1)
	var g group.Group
	for i, b := range append([]workBaseline{{"mimosadock", work.BoardScheme{Policies: placement.Default()}.Open}}, baselines...) {
		g.Go(b.name, func(context.Context) error {
			sims[i] = work.Replay(t, b.newScheme)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	sim := sims[0]
	figures := sim.Figures()
	for name, v := range jobFigures(figures) {
		r.Figures.Put(name, v)
	}
	r.addInvariants(&sim.Ledger)
	plots := newWorkPlots()
	plots.add("mimosadock", sim)
	for i, b := range baselines {
		sim := sims[i+1]
		r.addJobBaseline(b.name, sim)
		switch f := sim.Figures(); b.name {
		case preemption:
			r.Figures.Put("evictions.toPreemption", float64(figures.Evictions)/float64(f.Evictions))
		case actualSizes:
			r.Figures.Put("batch.doneToTrueSizes", figures.BatchRunSecondsInTime/f.BatchRunSecondsInTime)
		}
		plots.add(b.name, sim)
	}
	r.Plots = append(r.Plots, plots.all()...)
	return nil
}

// jobFigures returns the figures of a replay of jobs by name.
func jobFigures(f work.Figures) map[string]float64 {
	return map[string]float64{
		"urgent.start.p99":       work.Percentile(f.CriticalWaits, 99),
		"urgent.start.p999":      work.Percentile(f.CriticalWaits, 99.9),
		"urgent.start.peak.p99":  work.Percentile(f.PeakWaits, 99),
		"urgent.start.peak.p999": work.Percentile(f.PeakWaits, 99.9),
		"urgent.blockedByBatch":  f.CriticalBlockedSeconds,
		"batch.finished":         float64(f.BatchTasksFinished),
		"batch.done":             f.BatchRunSeconds,
		"batch.doneInTime":       f.BatchRunSecondsInTime,
		"impossible.refused":     float64(f.Impossible),
		"tasks.failed":           float64(f.Failed),
		"evictions":              float64(f.Evictions),
		"work.lost":              f.LostRunTime,
		"standing.gap.max":       float64(f.MaxStandingGap),
		"standing.gaps":          float64(f.StandingGaps),
	}
}

func (r *Result) addJobBaseline(baseline string, sim *work.Simulation) {
	for name, v := range jobFigures(sim.Figures()) {
		r.Figures.AddBaseline(name, baseline, v)
	}
	for i := invariant.Capacity; i <= invariant.RevisionAdoption; i++ {
		if sim.Ledger.CheckCount(i) > 0 {
			r.Figures.AddBaseline(i.String()+".violations", baseline, float64(sim.Ledger.ViolationCount(i)))
		}
	}
}

// workPlots are the plots of a replay of jobs.
type workPlots struct {
	critical, batch, waiting, cpuUsage, evictions Plot
}

func newWorkPlots() *workPlots {
	return &workPlots{
		critical:  Plot{Title: "Running latency-critical tasks", Unit: "tasks"},
		batch:     Plot{Title: "Running batch tasks", Unit: "tasks"},
		waiting:   Plot{Title: "Tasks that wait", Unit: "tasks"},
		cpuUsage:  Plot{Title: "Processors in use", Unit: "share"},
		evictions: Plot{Title: "Evictions", Unit: "tasks"},
	}
}

func (p *workPlots) add(name string, sim *work.Simulation) {
	curve := func(plot *Plot, value func(work.Sample) float64) {
		c := Curve{Name: name}
		for _, s := range sim.Samples() {
			c.Points = append(c.Points, Point{float64(s.At) / float64(clock.Second), value(s)})
		}
		plot.Curves = append(plot.Curves, c)
	}
	curve(&p.critical, func(s work.Sample) float64 { return float64(s.Running[service.LatencyCritical]) })
	curve(&p.batch, func(s work.Sample) float64 { return float64(s.Running[service.Batch]) })
	curve(&p.waiting, func(s work.Sample) float64 { return float64(s.Waiting) })
	curve(&p.cpuUsage, func(s work.Sample) float64 { return s.CPUUsage })
	curve(&p.evictions, func(s work.Sample) float64 { return float64(s.Evictions) })
}

func (p *workPlots) all() []Plot {
	return []Plot{p.critical, p.batch, p.waiting, p.cpuUsage, p.evictions}
}
