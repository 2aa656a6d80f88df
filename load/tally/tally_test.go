package tally

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// Guards against counting a lost, damaged or duplicated answer as whole, and
// against refusals whose latencies are recorded and improve the figures.
func TestTallyCounts(t *testing.T) {
	tests := map[string]struct {
		answers    []Outcome
		result     Result
		duplicated int64
		recorded   int64
	}{
		"whole":      {answers: []Outcome{{ID: "a", Result: Whole}}, result: Whole, recorded: 1},
		"none":       {result: Lost},
		"truncated":  {answers: []Outcome{{ID: "a", Result: Truncated}}, result: Truncated},
		"wrong":      {answers: []Outcome{{ID: "a", Result: Wrong}}, result: Wrong},
		"refused":    {answers: []Outcome{{ID: "a", Result: Refused}}, result: Refused},
		"duplicated": {answers: []Outcome{{ID: "a", Result: Whole}, {ID: "a", Result: Whole}}, result: Whole, duplicated: 1, recorded: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tally Tally
			tally.Sent("lookup", "a")
			for _, a := range tc.answers {
				a.Service = "lookup"
				tally.Add(a)
			}
			tally.Close()
			r := tally.Rows()[0]
			is.Equal(r.Sent, int64(1))
			is.Equal(r.Results[tc.result], int64(1))
			is.Equal(r.Duplicated, tc.duplicated)
			is.Equal(r.All.TotalCount(), tc.recorded)
		})
	}
}

// Guards against coordinated omission. A stall must increase the latencies of all
// requests that were due during the stall.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	is := is.New(t)
	var tally Tally
	const stall = time.Second
	for i := range 100 {
		intended := time.Duration(i) * 10 * time.Millisecond
		id := string(rune('a' + i))
		tally.Add(Outcome{ID: unit.Request(id), Service: "lookup", Result: Whole, Latency: stall - intended})
	}
	p50 := tally.Rows()[0].All.ValueAtQuantile(50)
	is.True(p50 > 400_000)
}
