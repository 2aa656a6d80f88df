// Command replay generates traces, replays them against the decision code in
// virtual time, and writes a report with plots. The decision code is the
// packages of the schedule module, which decide without goroutines, network or
// encoding.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/replay/generator"
)

// exitUsage is the exit code for invalid command-line arguments.
const exitUsage = 2

// settings are the flags of the program.
type settings struct {
	traces string
	seed   uint64
	names  []string
	out    string
}

func main() {
	var s settings
	app := kingpin.New("replay", "Replays traces against the decision code in virtual time.")
	app.Flag("traces", "Directory of the traces and their outcomes files.").Envar("MIMOSA_TRACES").Default("testdata/traces").StringVar(&s.traces)
	gen := app.Command("generate", "Generate the traces of scenarios.")
	gen.Flag("seed", "Seed of the generator.").Envar("MIMOSA_SEED").Default("1").Uint64Var(&s.seed)
	gen.Arg("scenario", "Scenarios to generate; all by default.").EnumsVar(&s.names, generator.Names()...)
	pr := app.Command("prove", "Replay traces and compare the results with their outcomes files.")
	pr.Arg("trace", "Traces to replay; all by default.").StringsVar(&s.names)
	rep := app.Command("report", "Replay traces and write an HTML page with plots of the results.")
	rep.Flag("out", "File to write.").Envar("MIMOSA_REPORT").Default("report.html").StringVar(&s.out)
	rep.Arg("trace", "Traces to replay; all by default.").StringsVar(&s.names)
	command, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(exitUsage)
	}
	switch command {
	case gen.FullCommand():
		err = generate(s)
	case pr.FullCommand():
		err = prove(os.Stdout, s)
	case rep.FullCommand():
		err = report(s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}

// generate writes the traces of the named scenarios.
func generate(s settings) error {
	names := s.names
	if len(names) == 0 {
		names = generator.Names()
	}
	for _, name := range names {
		t, err := generator.Generate(name, s.seed)
		if err != nil {
			return err
		}
		path := filepath.Join(s.traces, name+".jsonl.gz")
		if err := t.Save(path); err != nil {
			return err
		}
		fmt.Printf("%s %d events\n", path, len(t.Events))
	}
	return nil
}
