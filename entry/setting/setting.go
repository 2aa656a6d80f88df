package setting

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
)

// Settings are the settings of one entry process.
type Settings struct {
	Listen       string        // callers, "ip:port"
	Operator     string        // operators, "ip:port"
	DataCentre   string        // data centre of this host
	Journal      string        // journal of the platform, "ip:port"; empty is none
	LogLevel     string        // debug, info, warn or error
	BalancerWait time.Duration // how long new requests are taken after readiness ended
	DrainFor     time.Duration // how long requests in flight may take after that
}

// Register adds the flags of s to app.
func (s *Settings) Register(app *kingpin.Application) {
	app.Flag("listen", "Address for callers.").Envar("MIMOSA_LISTEN").Default("127.0.0.1:8080").StringVar(&s.Listen)
	app.Flag("operator", "Address for operators: metrics, state dump, administration.").Envar("MIMOSA_OPERATOR").Default("127.0.0.1:8081").StringVar(&s.Operator)
	app.Flag("data-centre", "Data centre of this host.").Envar("MIMOSA_DATA_CENTRE").Required().StringVar(&s.DataCentre)
	app.Flag("journal", "Address of the platform's journal. Empty runs without one.").Envar("MIMOSA_JOURNAL").StringVar(&s.Journal)
	app.Flag("log-level", "Lowest level to log.").Envar("MIMOSA_LOG_LEVEL").Default("info").StringVar(&s.LogLevel)
	app.Flag("balancer-wait", "Time for which new requests are still taken after a stop signal, until the load balancer has seen that the process is not ready.").Envar("MIMOSA_BALANCER_WAIT").Default("10s").DurationVar(&s.BalancerWait)
	app.Flag("drain-for", "Time for requests in flight after a stop signal.").Envar("MIMOSA_DRAIN_FOR").Default("2h").DurationVar(&s.DrainFor)
}

// Check returns an error that names the flag, its value and what is allowed.
func (s *Settings) Check() error {
	for _, a := range []struct{ flag, value string }{{"listen", s.Listen}, {"operator", s.Operator}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("--%s is %q, must be an IP number and a port", a.flag, a.value)
		}
	}
	if s.Listen == s.Operator && netip.MustParseAddrPort(s.Listen).Port() != 0 {
		return fmt.Errorf("--operator is %q, must differ from --listen", s.Operator)
	}
	if _, err := netip.ParseAddrPort(s.Journal); err != nil && s.Journal != "" {
		return fmt.Errorf("--journal is %q, must be an IP number and a port, or empty", s.Journal)
	}
	if _, err := log.ParseLevel(s.LogLevel); err != nil {
		return fmt.Errorf("--log-level is %q, must be debug, info, warn or error", s.LogLevel)
	}
	if s.BalancerWait < 0 || s.BalancerWait > 10*time.Minute {
		return fmt.Errorf("--balancer-wait is %s, must be 0s to 10m", s.BalancerWait)
	}
	if s.DrainFor < 0 || s.DrainFor > 24*time.Hour {
		return fmt.Errorf("--drain-for is %s, must be 0s to 24h", s.DrainFor)
	}
	return nil
}
