// Command standin is a stand-in for the platform, so that the scheduler can run
// without it. It serves a simulated journal, list of hosts and upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
)

// exitUsage is the exit code for invalid settings.
const exitUsage = 2

func main() {
	var s settings
	app := kingpin.New("standin", "Serves a simulated journal, list of hosts and upstreams, so that the scheduler can run without the platform.")
	s.register(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		usage(err)
	}
	if err := s.check(); err != nil {
		usage(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true})
	if err := serve(ctx, s, logger); err != nil {
		logger.Fatal("stopped", "err", err)
	}
}

func usage(err error) {
	fmt.Fprintln(os.Stderr, "standin:", err)
	os.Exit(exitUsage)
}
