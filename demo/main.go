// Command demo runs the main job: an entry process with requests of each class
// on embedded stand-ins of the platform. It prints what happened as a table.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("demo", "Runs the main job on embedded stand-ins and prints what happened.")
	checks := app.Flag("checks", "Short checks to send.").Envar("MIMOSA_DEMO_CHECKS").Default("200").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	rows, err := run(context.Background(), *checks)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	if !printRows(os.Stdout, rows) {
		os.Exit(1)
	}
}
