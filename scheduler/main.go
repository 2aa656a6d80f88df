// Command scheduler is the scheduler process: it runs callers' jobs on the
// platform's executors.
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

// exitUsage is the exit code for invalid flags or settings.
const exitUsage = 2

func main() {
	var s process.Settings
	var ttl, lease time.Duration
	app := kingpin.New("scheduler", "Scheduler process of mimosadock.")
	app.Flag("settings", "Path of the platform's settings file.").Envar(platform.SettingsVariable).StringVar(&s.PlatformFile)
	app.Flag("shards", "Number of shards to propose if the deployment has no layout; 0 derives it from the number of executors.").Envar("MIMOSA_SHARDS").Default("0").IntVar(&s.Shards)
	app.Flag("ttl", "Time without a join after which a process loses its shards.").Envar("MIMOSA_TTL").Default("1200ms").DurationVar(&ttl)
	app.Flag("lease", "Lease of executors, renewed at least four times within its length.").Envar("MIMOSA_LEASE").Default("7200ms").DurationVar(&lease)
	app.Flag("log-level", "Minimum level to log: debug, info, warn or error.").Envar("MIMOSA_LOG_LEVEL").Default("info").StringVar(&s.LogLevel)
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

// usage prints err and exits with [exitUsage].
func usage(err error) {
	fmt.Fprintln(os.Stderr, "scheduler:", err)
	os.Exit(exitUsage)
}
