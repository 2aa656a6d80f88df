package outcome

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against printing ok for a figure that misses its bound or was never
// measured.
func TestLine(t *testing.T) {
	tests := map[string]struct {
		line Line
		want string
	}{
		"within":          {Line{Name: "a", Value: 1, Bound: 2}, "a 1 <=2 ok"},
		"at the bound":    {Line{Name: "a", Value: 2, Bound: 2}, "a 2 <=2 ok"},
		"above the bound": {Line{Name: "a", Value: 2.5, Bound: 2}, "a 2.5 <=2 SHORT"},
		"below a minimum": {Line{Name: "a", Value: 1, Bound: 2, Side: AtLeast}, "a 1 >=2 SHORT"},
		"above a minimum": {Line{Name: "a", Value: 3, Bound: 2, Side: AtLeast}, "a 3 >=2 ok"},
		"not a number":    {Line{Name: "a", Value: math.NaN(), Bound: 2}, "a NaN <=2 SHORT"},
		"missing":         {Line{Name: "a", Bound: 2, Missing: true}, "a missing <=2 SHORT"},
		"baseline":        {Line{Name: "a", Bound: 2, Baselines: []Figure{{"firstFit", 7}}}, "a 0 <=2 ok firstFit=7"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.line.String(), tc.want)
			var b strings.Builder
			is.Equal(Print(&b, []Line{tc.line}), strings.Contains(tc.want, " ok"))
		})
	}
}

// Guards against dropping an expected outcome whose figure was not measured.
func TestLinesKeepEveryExpectedOutcome(t *testing.T) {
	is := is.New(t)
	bound := 1.0
	f := &File{Trace: "t", Outcomes: []Expectation{{Name: "a", AtMost: &bound, Target: "x"}, {Name: "b", AtLeast: &bound, Target: "x"}}}
	is.NoErr(f.check())
	var s FigureSet
	s.Put("b", 2)
	s.Put("c", 3)
	lines := s.Lines(f)
	is.Equal(len(lines), 2)
	is.True(!lines[0].OK())
	is.True(lines[1].OK())
	is.Equal(s.WithoutBound(f), []string{"c"})
}
