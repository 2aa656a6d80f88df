// Command entry is the entry process of mimosadock: it stands between callers
// and upstreams and schedules work on workers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"mimosadock/entry/process"
	"mimosadock/entry/setting"
)

// exitUsage is the exit code for settings that can't be used.
const exitUsage = 2

func main() {
	var s setting.Settings
	app := kingpin.New("entry", "Entry process of mimosadock.")
	s.Register(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		usage(err)
	}
	if err := s.Check(); err != nil {
		usage(err)
	}
	level, _ := log.ParseLevel(s.LogLevel)
	logger := log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p, err := process.Open(s, logger)
	if err != nil {
		logger.Fatal("start failed", "err", err)
	}
	if err := p.Run(ctx); err != nil {
		logger.Fatal("stopped", "err", err)
	}
}

func usage(err error) {
	fmt.Fprintln(os.Stderr, "entry:", err)
	os.Exit(exitUsage)
}
