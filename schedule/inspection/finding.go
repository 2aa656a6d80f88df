// Package inspection checks a configuration before it is sent: it finds entries that
// can never match and limits that contradict each other, and says what differs from
// the version in force. The formats are decoded by the packages that the processes
// use, so that both say the same of a text.
package inspection

import (
	"cmp"
	"fmt"
	"slices"
)

//go:generate go tool stringer -type=Severity -linecomment

// Severity says what becomes of a configuration with a finding.
type Severity int

// The severities. With a [Warning] the configuration does what it says, which may not
// be what is meant. With an [Error] a part of it is refused or has no effect.
const (
	Warning Severity = iota // warning
	Error                   // error
)

// MarshalText returns the name of s.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one thing that is wrong with a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Line     int      `json:"line,omitempty"`   // counts from 1; 0 if it has no position
	Column   int      `json:"column,omitempty"` // counts from 1; 0 if it has no position
	Entry    string   `json:"entry,omitempty"`  // such as queue "q"; empty for the whole configuration
	Message  string   `json:"message"`
}

// String returns the finding as "line:column: severity: entry: message". It omits
// what is not known.
func (f Finding) String() string {
	s := f.Severity.String() + ": "
	if f.Line > 0 {
		s = fmt.Sprintf("%d:%d: %s", f.Line, f.Column, s)
	}
	if f.Entry != "" {
		s += f.Entry + ": "
	}
	return s + f.Message
}

// Findings are the findings about one configuration.
type Findings []Finding

// HasErrors reports whether one of the findings is an error.
func (f Findings) HasErrors() bool {
	return slices.ContainsFunc(f, func(x Finding) bool { return x.Severity == Error })
}

// add appends a finding without a position.
func (f *Findings) add(s Severity, entry, format string, args ...any) {
	*f = append(*f, Finding{Severity: s, Entry: entry, Message: fmt.Sprintf(format, args...)})
}

// Sort puts findings with a position in its order, and those without one first.
func (f Findings) Sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
