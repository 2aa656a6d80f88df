// Command mimosactl is the operators' and teams' command line of mimosadock.
//
// Exit codes: 0 done, 1 refused or failed and nothing was changed, 2 wrong
// usage, 3 the outcome is unknown, 4 the configuration has changed since the
// base revision, 5 the services text has faults.
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
func execute(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) exitCode {
	app := kingpin.New("mimosactl", "Command line of mimosadock. Exit codes: 0 done, 1 failed, nothing changed, 2 usage, 3 outcome unknown, 4 configuration changed meanwhile, 5 faults in the services text.")
	app.UsageWriter(out)
	app.ErrorWriter(errs)
	ended := false
	app.Terminate(func(int) { ended = true })
	c := &command{ctx: ctx, in: in, out: out, errs: errs}
	c.client.register(app)
	app.Flag("output", "Output format: table for people, json for programs.").Short('o').Envar("MIMOSA_OUTPUT").Default("table").EnumVar(&c.output, "table", "json")
	c.register(app)
	_, err := app.Parse(args)
	if ended {
		return exitDone
	}
	return c.report(err)
}

// command holds what the commands share.
type command struct {
	ctx    context.Context
	client client
	output string
	in     io.Reader
	out    io.Writer
	errs   io.Writer
}

func (c *command) register(app *kingpin.Application) {
	c.registerConfig(app.Command("config", "Show and change the services text."))
	c.registerJob(app.Command("job", "Submit and follow jobs."))
	c.registerHost(app.Command("host", "Show and drain hosts."))
	c.registerService(app.Command("service", "Show services."))
	c.registerTeam(app.Command("team", "Show teams and their usage."))
	c.registerState(app)
}

// report prints err with what to do next and returns the exit code.
func (c *command) report(err error) exitCode {
	if err == nil {
		return exitDone
	}
	var p *problem
	if !errors.As(err, &p) {
		fmt.Fprintf(c.errs, "mimosactl: %v\n", err)
		return codeOf(err)
	}
	fmt.Fprintf(c.errs, "mimosactl: %s (%s)\n", p.Reason, p.Verdict)
	for _, f := range p.Faults {
		fmt.Fprintf(c.errs, "  %s\n", f)
	}
	if p.Diff != "" {
		fmt.Fprintf(c.errs, "revision %d is in force; difference to your text:\n%s", p.NewerRevision, p.Diff)
	}
	if p.Next != "" {
		fmt.Fprintf(c.errs, "next: %s\n", p.Next)
	}
	return codeOf(err)
}
