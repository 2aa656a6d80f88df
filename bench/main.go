// Command bench runs benchmarks with bounds and prints a line for each:
// "name value bound ok|SHORT". It exits 1 if a line is short.
package main

import (
	"fmt"
	"maps"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/bench/measure"
	"mimosadock/replay/outcome"
)

// exitUsage is the exit code for settings that can't be used.
const exitUsage = 2

func main() {
	app := kingpin.New("bench", "Benchmarks with bounds.")
	match := app.Flag("match", "Run only measures whose names contain this.").Envar("MIMOSA_BENCH_MATCH").String()
	length := app.Flag("time", "Length of one benchmark.").Envar("MIMOSA_BENCH_TIME").Default("300ms").Duration()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(exitUsage)
	}
	if err := measure.SetTime(*length); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(exitUsage)
	}
	if !all().Run(*match, func(l outcome.Line) { fmt.Println(l) }) {
		os.Exit(1)
	}
}

// all returns the measures of every file.
func all() measure.Group {
	g := make(measure.Group)
	for _, part := range []measure.Group{routeMeasures(), textMeasures(), journalMeasures(), frontMeasures(), workMeasures(), slotMeasures()} {
		maps.Copy(g, part)
	}
	return g
}
