package outcome

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

//go:generate go tool stringer -type=Side -linecomment

// Side is the side of its bound on which a value must lie.
type Side int

// The sides of a bound.
const (
	AtMost  Side = iota // <=
	AtLeast             // >=
)

// Figure is a named measured value.
type Figure struct {
	Name  string
	Value float64
}

// String formats the figure as name=value.
func (f Figure) String() string { return f.Name + "=" + formatNumber(f.Value) }

// Line is one measured value with its bound.
type Line struct {
	Name      string
	Value     float64
	Side      Side
	Bound     float64
	Missing   bool     // the value was not measured, so it meets no bound
	Baselines []Figure // further figures, of baselines or of the measure itself, printed after the result
}

// OK reports whether the value meets the bound. A missing value and NaN meet no
// bound.
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

// String formats the line for printing.
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

// Print writes the lines to w and reports whether all values meet their bounds.
func Print(w io.Writer, lines []Line) bool {
	ok := true
	for _, l := range lines {
		fmt.Fprintln(w, l)
		ok = ok && l.OK()
	}
	return ok
}
