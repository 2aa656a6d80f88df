// Command mimosactl is the command-line client of mimosadock for operators and
// teams.
//
// Exit codes: 0 success, 1 refused or failed without a change, 2 usage error, 3
// unknown outcome, 4 the configuration has changed since the base revision, 5
// the services text or a checked configuration has faults. Unreadable input
// files, failed writes and an interrupt between two polls have code 2, too.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(int(execute(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)))
}

// execute runs one command line and returns its exit code.
func execute(ctx context.Context, args []string, in io.Reader, out, stderr io.Writer) exitCode {
	app := kingpin.New("mimosactl", "Command-line client of mimosadock. Exit codes: 0 success, 1 refused or failed without a change, 2 usage error, 3 unknown outcome, 4 configuration changed since the base revision, 5 faults in the services text or the checked configuration.")
	app.UsageWriter(out)
	app.ErrorWriter(stderr)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	c := &cli{ctx: ctx, in: in, out: out, stderr: stderr}
	c.client.register(app)
	app.Flag("output", "Output format: table for people, json for programs.").Short('o').Envar("MIMOSA_OUTPUT").Default("table").EnumVar(&c.output, "table", "json")
	c.register(app)
	_, err := app.Parse(args)
	if terminated {
		return exitOK
	}
	return c.report(err)
}

// cli holds the context, options and streams that all commands share.
type cli struct {
	ctx    context.Context
	client client
	output string
	in     io.Reader
	out    io.Writer
	stderr io.Writer
}

// register adds all commands to app.
func (c *cli) register(app *kingpin.Application) {
	c.registerCheck(app)
	c.registerConfig(app.Command("config", "Show and change the services text."))
	c.registerJob(app.Command("job", "Submit, show, watch and cancel jobs."))
	c.registerHost(app.Command("host", "Show and drain hosts."))
	c.registerService(app.Command("service", "Show services."))
	c.registerTeam(app.Command("team", "Show teams and their usage."))
	c.registerState(app)
}

// report prints err with its faults, difference and recommended action, if it
// has them, and returns the exit code.
func (c *cli) report(err error) exitCode {
	if err == nil {
		return exitOK
	}
	var p *problem
	if !errors.As(err, &p) {
		fmt.Fprintf(c.stderr, "mimosactl: %v\n", err)
		return exitCodeOf(err)
	}
	fmt.Fprintf(c.stderr, "mimosactl: %s (%s)\n", p.Reason, p.Verdict)
	for _, f := range p.Faults {
		fmt.Fprintf(c.stderr, "  %s\n", f)
	}
	if p.Diff != "" {
		fmt.Fprintf(c.stderr, "revision %d is in force; difference to your text:\n%s", p.NewerRevision, p.Diff)
	}
	if p.Next != "" {
		fmt.Fprintf(c.stderr, "next: %s\n", p.Next)
	}
	return exitCodeOf(err)
}
