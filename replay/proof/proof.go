package proof

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"mimosadock/replay/invariant"
	"mimosadock/replay/outcome"
	"mimosadock/replay/trace"
)

// Suffixes of the names of a trace's files.
const (
	traceSuffix   = ".jsonl.gz"
	outcomeSuffix = ".outcomes.json"
)

// Result is the result of the replay of one trace.
type Result struct {
	Name         string
	Figures      outcome.FigureSet
	Lines        []outcome.Line
	WithoutBound []string // names of the figures without an expected outcome
	Violations   []invariant.Violation
	Plots        []Plot
}

// Plot is a set of curves over the time of the trace.
type Plot struct {
	Title  string
	Unit   string
	Curves []Curve
}

// Curve is one named curve of a plot.
type Curve struct {
	Name   string
	Points []Point
}

// Point is a point of a curve. At is in seconds from the start of the trace.
type Point struct{ At, Value float64 }

// Names returns the sorted names of the traces in dir. It returns an error if
// there are none.
func Names(dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+traceSuffix))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(paths))
	for _, p := range paths {
		names = append(names, strings.TrimSuffix(filepath.Base(p), traceSuffix))
	}
	slices.Sort(names)
	if len(names) == 0 {
		return nil, fmt.Errorf("proof: no traces in %s", dir)
	}
	return names, nil
}

// Run replays the named trace in dir and compares its figures with its outcomes
// file.
func Run(dir, name string) (*Result, error) {
	t, err := trace.Load(filepath.Join(dir, name+traceSuffix))
	if err != nil {
		return nil, err
	}
	expected, err := outcome.Load(filepath.Join(dir, name+outcomeSuffix))
	if err != nil {
		return nil, err
	}
	r := &Result{Name: name}
	if err := r.replay(t); err != nil {
		return nil, fmt.Errorf("proof: %s: %w", name, err)
	}
	r.Lines = r.Figures.Lines(expected)
	r.WithoutBound = r.Figures.WithoutBound(expected)
	return r, nil
}

// replay runs each kind of replay for which the trace has events.
func (r *Result) replay(t *trace.Trace) error {
	replays := []struct {
		eventType trace.EventType
		run       func(*trace.Trace) error
	}{
		{trace.Request, r.replayTraffic},
		{trace.Change, r.replayChanges},
		{trace.Submit, r.replayJobs},
	}
	for _, p := range replays {
		if !slices.ContainsFunc(t.Events, func(e trace.Event) bool { return e.Type == p.eventType }) {
			continue
		}
		if err := p.run(t); err != nil {
			return err
		}
	}
	return nil
}

// addInvariants stores the number of violations of each invariant that was
// checked, and the first violations.
func (r *Result) addInvariants(l *invariant.Ledger) {
	for i := invariant.Capacity; i <= invariant.RevisionAdoption; i++ {
		if l.CheckCount(i) > 0 {
			r.Figures.Put(i.String()+".violations", float64(l.ViolationCount(i)))
		}
	}
	r.Violations = append(r.Violations, l.FirstViolations()...)
}
