package setting

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"
)

// Settings are the settings of one entry process.
type Settings struct {
	Listen            string        // address for callers, "ip:port"
	Operator          string        // address for operators, "ip:port"
	DataCentre        string        // data centre of this host
	Journal           string        // address of the platform's journal, "ip:port"; empty for none
	HostList          string        // address of the platform's list of hosts, "ip:port"; empty for none
	OperatorTokenHash string        // SHA-256 of an operator's token, in addition to those of the services text
	LogLevel          string        // debug, info, warn or error
	BalancerWait      time.Duration // time to accept new requests after the process became not ready
	DrainFor          time.Duration // time limit of requests in flight after BalancerWait
	PeerListen        string        // address for other entry processes, "ip:port"; empty if this process uses all slots alone
	Peers             []string      // addresses of known entry processes, "ip:port" each
	PeerCert          string        // PEM file for mutual TLS between entry processes; set all three or none
	PeerKey           string        // PEM file of the key of PeerCert
	Memory            int           // memory of this process in MiB
	Descriptors       int           // open files and sockets of this process
	PeerCA            string        // PEM file of the authorities that sign the certificates
}

// Register adds the flags of s to app.
func (s *Settings) Register(app *kingpin.Application) {
	app.Flag("listen", "Address for callers.").Envar("MIMOSA_LISTEN").Default("127.0.0.1:8080").StringVar(&s.Listen)
	app.Flag("operator", "Address for operators: metrics, state dump, administration.").Envar("MIMOSA_OPERATOR").Default("127.0.0.1:8081").StringVar(&s.Operator)
	app.Flag("data-centre", "Data centre of this host.").Envar("MIMOSA_DATA_CENTRE").Required().StringVar(&s.DataCentre)
	app.Flag("journal", "Address of the platform's journal. If empty, the process runs without a journal.").Envar("MIMOSA_JOURNAL").StringVar(&s.Journal)
	app.Flag("host-list", "Address of the platform's list of hosts. If empty, only the upstreams of the services text are used.").Envar("MIMOSA_HOST_LIST").StringVar(&s.HostList)
	app.Flag("operator-token-sha256", "SHA-256, in hexadecimal, of an operator's bearer token, in addition to those of the services text. Required to apply the first text.").Envar("MIMOSA_OPERATOR_TOKEN_SHA256").StringVar(&s.OperatorTokenHash)
	app.Flag("log-level", "Lowest level to log.").Envar("MIMOSA_LOG_LEVEL").Default("info").StringVar(&s.LogLevel)
	app.Flag("balancer-wait", "Time to accept new requests after a stop signal, until the load balancer has noticed that the process is not ready.").Envar("MIMOSA_BALANCER_WAIT").Default("10s").DurationVar(&s.BalancerWait)
	app.Flag("drain-for", "Time limit of requests in flight after the balancer wait.").Envar("MIMOSA_DRAIN_FOR").Default("2h").DurationVar(&s.DrainFor)
	app.Flag("memory", "Memory that this process may use, in MiB. Bounds what callers can make it hold.").Envar("MIMOSA_MEMORY").Default("1024").IntVar(&s.Memory)
	app.Flag("descriptors", "Open files and sockets that this process may use. Bounds the connections of callers.").Envar("MIMOSA_DESCRIPTORS").Default("16384").IntVar(&s.Descriptors)
	app.Flag("peer-listen", "Address for other entry processes.").Envar("MIMOSA_PEER_LISTEN").StringVar(&s.PeerListen)
	app.Flag("peers", "Address of a known entry process; repeat for more.").Envar("MIMOSA_PEERS").StringsVar(&s.Peers)
	app.Flag("peer-cert", "Certificate for TLS between entry processes.").Envar("MIMOSA_PEER_CERT").StringVar(&s.PeerCert)
	app.Flag("peer-key", "Key of the certificate.").Envar("MIMOSA_PEER_KEY").StringVar(&s.PeerKey)
	app.Flag("peer-ca", "Authorities that sign the certificates of entry processes.").Envar("MIMOSA_PEER_CA").StringVar(&s.PeerCA)
}

// Check returns an error for the first invalid setting, with the flag, its value
// and the allowed values. The error does not show the operator's token.
func (s *Settings) Check() error {
	for _, a := range []struct{ flag, value string }{{"listen", s.Listen}, {"operator", s.Operator}} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("--%s is %q, must be an IP address and a port", a.flag, a.value)
		}
	}
	if s.Listen == s.Operator && netip.MustParseAddrPort(s.Listen).Port() != 0 {
		return fmt.Errorf("--operator is %q, must differ from --listen", s.Operator)
	}
	if _, err := netip.ParseAddrPort(s.Journal); err != nil && s.Journal != "" {
		return fmt.Errorf("--journal is %q, must be an IP address and a port, or empty", s.Journal)
	}
	if s.HostList != "" {
		if _, err := netip.ParseAddrPort(s.HostList); err != nil {
			return fmt.Errorf("--host-list is %q, must be an IP address and a port", s.HostList)
		}
	}
	if b, err := hex.DecodeString(s.OperatorTokenHash); err != nil || s.OperatorTokenHash != "" && len(b) != sha256.Size || strings.ToLower(s.OperatorTokenHash) != s.OperatorTokenHash {
		return errors.New("--operator-token-sha256 has an invalid value (withheld), must be 64 digits of lower-case hexadecimal")
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
	if s.Memory < 0 || s.Memory > 1<<20 {
		return fmt.Errorf("--memory is %d, must be 0 to %d", s.Memory, 1<<20)
	}
	if s.Descriptors < 0 || s.Descriptors > 1<<20 {
		return fmt.Errorf("--descriptors is %d, must be 0 to %d", s.Descriptors, 1<<20)
	}
	return s.checkPeers()
}

// checkPeers checks the settings for peers.
func (s *Settings) checkPeers() error {
	if a, err := netip.ParseAddrPort(s.PeerListen); s.PeerListen != "" && (err != nil || a.Addr().IsUnspecified()) {
		return fmt.Errorf("--peer-listen is %q, must be the IP address of this host and a port", s.PeerListen)
	}
	for _, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return fmt.Errorf("--peers is %q, must be an IP address and a port", p)
		}
	}
	if len(s.Peers) > 0 && s.PeerListen == "" {
		return fmt.Errorf("--peer-listen is %q, must be set with --peers", s.PeerListen)
	}
	if (s.PeerCert == "") != (s.PeerKey == "") || (s.PeerCert == "") != (s.PeerCA == "") {
		return fmt.Errorf("--peer-cert is %q, must be set together with --peer-key and --peer-ca", s.PeerCert)
	}
	return nil
}
