// Command load sends requests to entry processes of this host at intended times,
// independent of the results of earlier requests, and prints the results. It can
// also configure the program standin for such a run.
//
// Latency counts from the intended send time, so that a stall increases the
// latency of every request that was due during the stall.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/load/profile"
	"mimosadock/load/target"
)

// exitUsage is the exit code for invalid settings.
const exitUsage = 2

// maxInFlightLimit is the maximum of the flag --open.
const maxInFlightLimit = 20_000

// settings has the values of the flags of the command send.
type settings struct {
	targets      []string
	services     []string
	profile      profile.Profile
	deadline     time.Duration
	readyTimeout time.Duration
	maxInFlight  int
	seed         uint64
}

// register adds the flags to the command.
func (s *settings) register(app *kingpin.CmdClause) {
	app.Flag("target", "Entry process as a loopback ip:port; may be repeated, used in turn.").Envar("MIMOSA_LOAD_TARGET").Required().StringsVar(&s.targets)
	app.Flag("service", "Load on a service as name[:share[:runMs[:bodyBytes]]]; may be repeated.").Envar("MIMOSA_LOAD_SERVICE").Required().StringsVar(&s.services)
	app.Flag("rate", "Requests a second.").Envar("MIMOSA_LOAD_RATE").Default("100").Float64Var(&s.profile.Rate)
	app.Flag("factor", "Rate in the swing divided by --rate.").Envar("MIMOSA_LOAD_FACTOR").Default("1").Float64Var(&s.profile.Factor)
	app.Flag("swing-from", "Start of the swing.").Envar("MIMOSA_LOAD_SWING_FROM").Default("0s").DurationVar(&s.profile.SwingFrom)
	app.Flag("swing-to", "End of the swing.").Envar("MIMOSA_LOAD_SWING_TO").Default("0s").DurationVar(&s.profile.SwingTo)
	app.Flag("climb", "Duration of the climb and of the fall of the swing.").Envar("MIMOSA_LOAD_CLIMB").Default("1s").DurationVar(&s.profile.Climb)
	app.Flag("duration", "Duration of the run.").Envar("MIMOSA_LOAD_DURATION").Default("10s").DurationVar(&s.profile.Duration)
	app.Flag("total", "Maximum number of requests to send.").Envar("MIMOSA_LOAD_TOTAL").Default("100000").IntVar(&s.profile.Total)
	app.Flag("deadline", "Deadline of a request.").Envar("MIMOSA_LOAD_DEADLINE").Default("2s").DurationVar(&s.deadline)
	app.Flag("ready", "Maximum time to wait until all targets are ready; 0s does not wait.").Envar("MIMOSA_LOAD_READY").Default("0s").DurationVar(&s.readyTimeout)
	app.Flag("open", "Maximum number of requests in flight.").Envar("MIMOSA_LOAD_OPEN").Default("2000").IntVar(&s.maxInFlight)
	app.Flag("seed", "Seed for the request ids and for the choice of services.").Envar("MIMOSA_LOAD_SEED").Default("1").Uint64Var(&s.seed)
}

// sender checks the settings and returns a sender with these settings.
func (s *settings) sender() (*sender, error) {
	targets, err := target.New(s.targets)
	if err != nil {
		return nil, fmt.Errorf("--target: %w", err)
	}
	if err := s.profile.Check(); err != nil {
		return nil, err
	}
	if s.deadline <= 0 || s.deadline > time.Hour {
		return nil, fmt.Errorf("--deadline is %s, must be above 0s and at most 1h", s.deadline)
	}
	if s.maxInFlight <= 0 || s.maxInFlight > maxInFlightLimit {
		return nil, fmt.Errorf("--open is %d, must be 1 to %d", s.maxInFlight, maxInFlightLimit)
	}
	loads := make([]serviceLoad, len(s.services))
	for i, text := range s.services {
		if loads[i], err = parseServiceLoad(text, s.deadline); err != nil {
			return nil, fmt.Errorf("--service: %w", err)
		}
	}
	return newSender(targets, loads, s.profile, s.maxInFlight, s.seed), nil
}

func main() {
	var s settings
	var standin standinConfig
	app := kingpin.New("load", "Open-loop load on entry processes of this host.")
	send := app.Command("send", "Send requests and print the results.")
	s.register(send)
	configure := app.Command("configure", "Append the services text of the load script to the journal of a stand-in.")
	configure.Flag("journal", "Journal of the stand-in.").Envar("MIMOSA_LOAD_JOURNAL").Default("127.0.0.1:7000").StringVar(&standin.journal)
	configure.Flag("hosts", "List of hosts of the stand-in.").Envar("MIMOSA_LOAD_HOSTS").Default("127.0.0.1:7001").StringVar(&standin.hosts)
	configure.Flag("slots", "Slots of each upstream.").Envar("MIMOSA_LOAD_SLOTS").Default("8").IntVar(&standin.slots)
	command, err := app.Parse(os.Args[1:])
	if err != nil {
		fail(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if command == configure.FullCommand() {
		if err := standin.apply(ctx); err != nil {
			fail(1, err)
		}
		return
	}
	snd, err := s.sender()
	if err != nil {
		fail(exitUsage, err)
	}
	if err := snd.waitReady(ctx, s.readyTimeout); err != nil {
		fail(1, err)
	}
	if err := snd.run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		fail(1, err)
	}
	snd.tally.Print(os.Stdout)
	fmt.Printf("not sent because %d requests were in flight: %d\n", s.maxInFlight, snd.skipped.Load())
	if n := snd.tally.Violations(); n > 0 {
		fail(1, fmt.Errorf("%d wrong or duplicated answers", n))
	}
}

// fail prints err and exits with the code.
func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "load:", err)
	os.Exit(code)
}
