// Command demo runs the main job: three entry processes on embedded stand-ins
// of the platform, with short checks, a non-idempotent order, a long watch, a
// batch job that is evicted and resumes, and standing work. It prints what
// happened as a table and exits with 1 if something went wrong.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("demo", "Runs the main job on embedded stand-ins and prints what happened.")
	checks := app.Flag("checks", "Short checks to send.").Envar("MIMOSA_DEMO_CHECKS").Default("300").Int()
	limit := app.Flag("limit", "Longest time for the whole job.").Envar("MIMOSA_DEMO_LIMIT").Default("1m").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, cancel := context.WithTimeout(context.Background(), *limit)
	defer cancel()
	began := time.Now()
	rows, err := run(ctx, *checks)
	ok := printRows(os.Stdout, rows)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
	fmt.Printf("took %.1f s\n", time.Since(began).Seconds())
}
