// Command bench runs benchmarks with bounds and prints one line per measure in
// the format of package outcome. It exits with 1 if a measure misses its bound.
package main

import (
	"fmt"
	"maps"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/bench/measure"
	"mimosadock/replay/outcome"
)

// exitUsage is the exit code for invalid settings.
const exitUsage = 2

func main() {
	app := kingpin.New("bench", "Benchmarks with bounds.")
	match := app.Flag("match", "Run only the measures whose names contain this text.").Envar("MIMOSA_BENCH_MATCH").String()
	length := app.Flag("time", "Duration of one benchmark.").Envar("MIMOSA_BENCH_TIME").Default("300ms").Duration()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(exitUsage)
	}
	if err := measure.SetTime(*length); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(exitUsage)
	}
	if !allMeasures().Run(*match, func(l outcome.Line) { fmt.Println(l) }) {
		os.Exit(1)
	}
}

// allMeasures returns the measures of all files of this package.
func allMeasures() measure.Group {
	g := make(measure.Group)
	for _, part := range []measure.Group{routeMeasures(), textMeasures(), journalMeasures(), frontMeasures(), workMeasures(), slotMeasures()} {
		maps.Copy(g, part)
	}
	return g
}
