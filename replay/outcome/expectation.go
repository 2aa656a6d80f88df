package outcome

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
)

// Expectation is the bound of one figure of a replay. Exactly one of AtMost and
// AtLeast is set.
type Expectation struct {
	Name    string   `json:"name"`
	AtMost  *float64 `json:"atMost,omitempty"`
	AtLeast *float64 `json:"atLeast,omitempty"`
	Target  string   `json:"target"` // the target of the design page that the bound comes from
}

// File is the content of an outcomes file, which has the bounds of the figures
// of one trace.
type File struct {
	Trace    string        `json:"trace"`
	Outcomes []Expectation `json:"outcomes"`
}

// Load reads the outcomes file at path. Every outcome must have exactly one
// bound, a target and a unique name. Load returns an error for unknown fields.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	f := new(File)
	if err := dec.Decode(f); err != nil {
		return nil, fmt.Errorf("outcome: %s: %w", path, err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("outcome: %s: %w", path, err)
	}
	return f, nil
}

func (f *File) check() error {
	if len(f.Outcomes) == 0 {
		return errors.New("the file has no outcomes")
	}
	seen := make(map[string]bool, len(f.Outcomes))
	for _, s := range f.Outcomes {
		if (s.AtMost == nil) == (s.AtLeast == nil) || s.Target == "" {
			return fmt.Errorf("%s needs either atMost or atLeast, and a target", s.Name)
		}
		if seen[s.Name] {
			return fmt.Errorf("%s is listed twice", s.Name)
		}
		seen[s.Name] = true
	}
	return nil
}

// FigureSet holds the measured figures of one run by name, each with the
// figures of the baselines. The zero value is empty and ready to use.
type FigureSet struct {
	names     []string
	values    map[string]float64
	baselines map[string][]Figure
}

// Put stores a figure of the run. It replaces an earlier value of the same name.
func (s *FigureSet) Put(name string, value float64) {
	if s.values == nil {
		s.values, s.baselines = make(map[string]float64), make(map[string][]Figure)
	}
	if !slices.Contains(s.names, name) {
		s.names = append(s.names, name)
	}
	s.values[name] = value
}

// AddBaseline adds the value of a baseline for the figure of the given name.
func (s *FigureSet) AddBaseline(name, baseline string, value float64) {
	if s.values == nil {
		s.values, s.baselines = make(map[string]float64), make(map[string][]Figure)
	}
	s.baselines[name] = append(s.baselines[name], Figure{baseline, value})
}

// Value returns the figure of the given name and reports whether it was
// measured.
func (s *FigureSet) Value(name string) (float64, bool) {
	v, ok := s.values[name]
	return v, ok
}

// Lines compares the figures with the expected outcomes of f. An outcome
// without a measured figure gives a line with a missing value.
func (s *FigureSet) Lines(f *File) []Line {
	lines := make([]Line, 0, len(f.Outcomes))
	for _, o := range f.Outcomes {
		v, ok := s.values[o.Name]
		l := Line{Name: f.Trace + "." + o.Name, Value: v, Missing: !ok, Baselines: s.baselines[o.Name]}
		if o.AtLeast != nil {
			l.Side, l.Bound = AtLeast, *o.AtLeast
		} else {
			l.Bound = *o.AtMost
		}
		lines = append(lines, l)
	}
	return lines
}

// WithoutBound returns the names of the measured figures without an expected
// outcome in f, in the order in which they were stored.
func (s *FigureSet) WithoutBound(f *File) []string {
	var out []string
	for _, n := range s.names {
		if !slices.ContainsFunc(f.Outcomes, func(o Expectation) bool { return o.Name == n }) {
			out = append(out, n)
		}
	}
	return out
}

// Format formats a figure and its baselines like a line without a bound.
func (s *FigureSet) Format(name string) string {
	text := name + " " + formatNumber(s.values[name])
	for _, f := range s.baselines[name] {
		text += " " + f.String()
	}
	return text
}
