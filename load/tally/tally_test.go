package tally

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// Guards against a lost, damaged or repeated answer that is counted as whole,
// and against refusals that improve the latencies.
func TestTallyCounts(t *testing.T) {
	tests := map[string]struct {
		answers    []Answer
		result     Result
		duplicated int64
		recorded   int64
	}{
		"whole":      {answers: []Answer{{ID: "a", Result: Whole}}, result: Whole, recorded: 1},
		"none":       {result: Lost},
		"truncated":  {answers: []Answer{{ID: "a", Result: Truncated}}, result: Truncated},
		"wrong":      {answers: []Answer{{ID: "a", Result: Wrong}}, result: Wrong},
		"refused":    {answers: []Answer{{ID: "a", Result: Refused}}, result: Refused},
		"duplicated": {answers: []Answer{{ID: "a", Result: Whole}, {ID: "a", Result: Whole}}, result: Whole, duplicated: 1, recorded: 1},
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

// Guards against coordinated omission: a stall must show in the latencies of
// all requests that were due while it lasted.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	is := is.New(t)
	var tally Tally
	const stall = time.Second
	for i := range 100 {
		intended := time.Duration(i) * 10 * time.Millisecond
		id := string(rune('a' + i))
		tally.Add(Answer{ID: unit.Request(id), Service: "lookup", Result: Whole, Latency: stall - intended})
	}
	p50 := tally.Rows()[0].All.ValueAtQuantile(50)
	is.True(p50 > 400_000)
}
