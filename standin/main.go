// Command standin takes the place of the platform in trials: it serves the
// journal, the list of hosts and stand-in upstreams.
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

// exitUsage is the exit code for settings that can't be used.
const exitUsage = 2

func main() {
	var s settings
	app := kingpin.New("standin", "Stand-in of the platform.")
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
