package outcome

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

//go:generate go tool stringer -type=Side -linecomment

// Side says on which side of its bound a value must lie.
type Side int

// The sides of a bound.
const (
	AtMost  Side = iota // <=
	AtLeast             // >=
)

// Figure is a measured value with a name.
type Figure struct {
	Name  string
	Value float64
}

// String returns the figure as name=value.
func (f Figure) String() string { return f.Name + "=" + formatNumber(f.Value) }

// Line is one measured value with its bound.
type Line struct {
	Name      string
	Value     float64
	Side      Side
	Bound     float64
	Missing   bool     // the value could not be measured, which never meets a bound
	Baselines []Figure // printed beside
}

// OK reports whether the value meets the bound. A value that is missing or is
// not a number does not.
func (l Line) OK() bool {
	switch {
	case l.Missing || math.IsNaN(l.Value):
		return false
	case l.Side == AtLeast:
		return l.Value >= l.Bound
	default:
		return l.Value <= l.Bound
	}
}

// String returns the line as it is printed.
func (l Line) String() string {
	var b strings.Builder
	value := formatNumber(l.Value)
	if l.Missing {
		value = "missing"
	}
	result := "SHORT"
	if l.OK() {
		result = "ok"
	}
	fmt.Fprintf(&b, "%s %s %s%s %s", l.Name, value, l.Side, formatNumber(l.Bound), result)
	for _, f := range l.Baselines {
		b.WriteString(" " + f.String())
	}
	return b.String()
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

// Print writes the lines and reports whether all of them are ok.
func Print(w io.Writer, lines []Line) bool {
	ok := true
	for _, l := range lines {
		fmt.Fprintln(w, l)
		ok = ok && l.OK()
	}
	return ok
}
