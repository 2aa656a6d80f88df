package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/schedule/unit"
)

// maxUpstreams bounds the number of upstreams of one process.
const maxUpstreams = 2000

// settings holds the values of the command line flags.
type settings struct {
	journal     string // "ip:port"
	hosts       string // "ip:port"
	operator    string // "ip:port"
	upstreamIP  string // IP address that the upstreams listen on
	upstreams   int
	slots       int
	service     string
	dataCentre  string
	keepEntries int           // journal retention by count; 0 keeps all
	keepFor     time.Duration // journal retention by age; 0 keeps all
	hostListLag time.Duration // age of the returned list of hosts
}

func (s *settings) register(app *kingpin.Application) {
	app.Flag("journal", "Address of the journal.").Envar("MIMOSA_STANDIN_JOURNAL").Default("127.0.0.1:7000").StringVar(&s.journal)
	app.Flag("hosts", "Address of the list of hosts.").Envar("MIMOSA_STANDIN_HOSTS").Default("127.0.0.1:7001").StringVar(&s.hosts)
	app.Flag("operator", "Address for the operator's requests, which set failures.").Envar("MIMOSA_STANDIN_OPERATOR").Default("127.0.0.1:7002").StringVar(&s.operator)
	app.Flag("upstream-address", "IP address that the upstreams listen on.").Envar("MIMOSA_STANDIN_UPSTREAM_ADDRESS").Default("127.0.0.1").StringVar(&s.upstreamIP)
	app.Flag("upstreams", "Number of upstreams.").Envar("MIMOSA_STANDIN_UPSTREAMS").Default("2").IntVar(&s.upstreams)
	app.Flag("slots", "Listed slots of each upstream.").Envar("MIMOSA_STANDIN_SLOTS").Default("8").IntVar(&s.slots)
	app.Flag("service", "Service that the upstreams are listed for.").Envar("MIMOSA_STANDIN_SERVICE").Default("weighbook").StringVar(&s.service)
	app.Flag("data-centre", "Data centre of the upstreams.").Envar("MIMOSA_STANDIN_DATA_CENTRE").Default("kelso").StringVar(&s.dataCentre)
	app.Flag("keep-entries", "Entries that the journal keeps. 0 keeps all.").Envar("MIMOSA_STANDIN_KEEP_ENTRIES").Default("0").IntVar(&s.keepEntries)
	app.Flag("keep-for", "How long the journal keeps an entry. 0s keeps all.").Envar("MIMOSA_STANDIN_KEEP_FOR").Default("0s").DurationVar(&s.keepFor)
	app.Flag("lag", "Age of the returned list of hosts.").Envar("MIMOSA_STANDIN_LAG").Default("0s").DurationVar(&s.hostListLag)
}

// check returns an error for the first invalid setting, with its flag, value and
// allowed values.
func (s *settings) check() error {
	for _, a := range []struct{ flag, value string }{{"journal", s.journal}, {"hosts", s.hosts}, {"operator", s.operator}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("--%s is %q, must be an IP address and a port", a.flag, a.value)
		}
	}
	if _, err := netip.ParseAddr(s.upstreamIP); err != nil {
		return fmt.Errorf("--upstream-address is %q, must be an IP address", s.upstreamIP)
	}
	if s.upstreams < 0 || s.upstreams > maxUpstreams {
		return fmt.Errorf("--upstreams is %d, must be 0 to %d", s.upstreams, maxUpstreams)
	}
	if s.slots < 1 {
		return fmt.Errorf("--slots is %d, must be at least 1", s.slots)
	}
	if s.service == "" || s.dataCentre == "" {
		return fmt.Errorf("--service is %q and --data-centre is %q, must not be empty", s.service, s.dataCentre)
	}
	if s.keepEntries < 0 {
		return fmt.Errorf("--keep-entries is %d, must not be negative", s.keepEntries)
	}
	for _, d := range []struct {
		flag  string
		value time.Duration
	}{{"keep-for", s.keepFor}, {"lag", s.hostListLag}} {
		if d.value < 0 {
			return fmt.Errorf("--%s is %s, must not be negative", d.flag, d.value)
		}
	}
	return nil
}

func (s *settings) unitDataCentre() unit.DataCentre { return unit.DataCentre(s.dataCentre) }
