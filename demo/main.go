// Command demo demonstrates the scheduler within one program. It starts three
// entry processes on simulated platform services. It sends short checks, a
// non-idempotent order and a long watch, and submits a batch job, a
// latency-critical job and a standing job. The latency-critical job evicts a
// task of the batch job, which then resumes. The command prints the results as
// a table and exits with 1 if a result is not as expected.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("demo", "Runs requests and jobs on simulated platform services and prints the results.")
	checks := app.Flag("checks", "Number of short checks to send.").Envar("MIMOSA_DEMO_CHECKS").Default("300").Int()
	limit := app.Flag("limit", "Maximum time for the whole run.").Envar("MIMOSA_DEMO_LIMIT").Default("1m").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, cancel := context.WithTimeout(context.Background(), *limit)
	defer cancel()
	startedAt := time.Now()
	rows, err := run(ctx, *checks)
	ok := printRows(os.Stdout, rows)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
	fmt.Printf("took %.1f s\n", time.Since(startedAt).Seconds())
}
