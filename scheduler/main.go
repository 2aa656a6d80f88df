// Command scheduler runs jobs of callers on the executors of the platform.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/platform"
	"mimosadock/schedule/clock"
	"mimosadock/scheduler/process"
)

// exitUsage is the exit code for settings that can't be used.
const exitUsage = 2

func main() {
	var s process.Settings
	var ttl, lease time.Duration
	app := kingpin.New("scheduler", "Scheduler process of mimosadock.")
	app.Flag("settings", "Path of the platform's settings file.").Envar(platform.SettingsVariable).StringVar(&s.Platform)
	app.Flag("shards", "Shards for a deployment that has no layout yet; 0 for as many as its executors ask for.").Envar("MIMOSA_SHARDS").Default("0").IntVar(&s.Shards)
	app.Flag("ttl", "Silence after which a process loses its shards.").Envar("MIMOSA_TTL").Default("1200ms").DurationVar(&ttl)
	app.Flag("lease", "Lease of executors, renewed four times in its length or more.").Envar("MIMOSA_LEASE").Default("6s").DurationVar(&lease)
	app.Flag("log-level", "Lowest level to log: debug, info, warn or error.").Envar("MIMOSA_LOG_LEVEL").Default("info").StringVar(&s.LogLevel)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		usage(err)
	}
	s.TTL, s.Lease = clock.SpanOf(ttl), clock.SpanOf(lease)
	if err := s.Check(); err != nil {
		usage(err)
	}
	p, err := process.Open(s)
	if err != nil {
		usage(err)
	}
	if err := p.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "scheduler:", err)
		os.Exit(1)
	}
}

func usage(err error) {
	fmt.Fprintln(os.Stderr, "scheduler:", err)
	os.Exit(exitUsage)
}
