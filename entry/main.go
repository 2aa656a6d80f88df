// Command entry is the entry process of mimosadock. It routes requests from
// callers to upstreams and schedules jobs on workers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"mimosadock/entry/process"
	"mimosadock/entry/setting"
	"mimosadock/schedule/group"
)

// exitUsage is the exit code for invalid settings.
const exitUsage = 2

// memoryShare is the share of the memory in the settings above which the Go runtime
// collects garbage more often.
const memoryShare = 0.6

func main() {
	var s setting.Settings
	app := kingpin.New("entry", "Entry process of mimosadock.")
	s.Register(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		exitWithUsageError(err)
	}
	if err := s.Check(); err != nil {
		exitWithUsageError(err)
	}
	level, _ := log.ParseLevel(s.LogLevel)
	logger := log.NewWithOptions(os.Stderr, log.Options{Level: level, ReportTimestamp: true})
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare * (1 << 20)))
	}
	p, err := process.Open(s, logger)
	if err != nil {
		logger.Fatal("start failed", "err", err)
	}
	signals := group.New(context.Background())
	stop, kill := watchSignals(signals, p)
	err = p.Run(stop, kill)
	signals.Stop()
	if err != nil {
		logger.Fatal("stopped", "err", err)
	}
}

// watchSignals handles the signals of the process. It returns a context that ends
// with the first SIGTERM or interrupt and a context that ends with the second.
// SIGUSR1 writes the state dump to standard error.
func watchSignals(g *group.Group, p *process.Process) (stop, kill context.Context) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGUSR1)
	stop, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	g.Go("signals", func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case sig := <-signals:
				switch {
				case sig == syscall.SIGUSR1:
					writeStateDump(ctx, p)
				case stop.Err() == nil:
					cancelStop()
				default:
					cancelKill()
				}
			}
		}
	})
	return stop, kill
}

// writeStateDump writes the state dump of p as JSON to standard error.
func writeStateDump(ctx context.Context, p *process.Process) {
	s, err := p.State(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "entry: state dump:", err)
		return
	}
	_ = json.NewEncoder(os.Stderr).Encode(s)
}

// exitWithUsageError prints err and ends the program with exitUsage.
func exitWithUsageError(err error) {
	fmt.Fprintln(os.Stderr, "entry:", err)
	os.Exit(exitUsage)
}
