package setting

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"
)

// validSettings returns settings that pass the check.
func validSettings() Settings {
	return Settings{Listen: "127.0.0.1:0", Operator: "127.0.0.1:0", DataCentre: "kelso", LogLevel: "info", DrainFor: time.Hour}
}

// Guards against a process that starts with invalid settings.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*Settings)
		want   string // part of the error; empty expects none
	}{
		"valid":        {change: func(*Settings) {}},
		"host name":    {change: func(s *Settings) { s.Listen = "localhost:80" }, want: "--listen"},
		"same address": {change: func(s *Settings) { s.Listen, s.Operator = "127.0.0.1:80", "127.0.0.1:80" }, want: "--operator"},
		"journal":      {change: func(s *Settings) { s.Journal = "journal:7000" }, want: "--journal"},
		"host list":    {change: func(s *Settings) { s.HostList = "hosts" }, want: "--host-list"},
		"token":        {change: func(s *Settings) { s.OperatorTokenHash = "secret" }, want: "--operator-token-sha256"},
		"log level":    {change: func(s *Settings) { s.LogLevel = "loud" }, want: "--log-level"},
		"balancer":     {change: func(s *Settings) { s.BalancerWait = time.Hour }, want: "--balancer-wait"},
		"peer host":    {change: func(s *Settings) { s.PeerListen = "0.0.0.0:90" }, want: "--peer-listen"},
		"peers":        {change: func(s *Settings) { s.PeerListen, s.Peers = "10.0.0.1:90", []string{"a:1"} }, want: "--peers"},
		"half of keys": {change: func(s *Settings) { s.PeerCert = "c.pem" }, want: "--peer-cert"},
		"memory":       {change: func(s *Settings) { s.Memory = -1 }, want: "--memory"},
		"descriptors":  {change: func(s *Settings) { s.Descriptors = -1 }, want: "--descriptors"},
		"drain":        {change: func(s *Settings) { s.DrainFor = -1 }, want: "--drain-for"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := validSettings()
			tc.change(&s)
			err := s.Check()
			is.Equal(err != nil, tc.want != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), tc.want))
			}
		})
	}
}

// Guards against an operations page without a setting, its environment variable
// or its default.
func TestOperationsPageListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	app := kingpin.New("entry", "")
	new(Settings).Register(app)
	for _, f := range app.Model().Flags {
		if f.Envar == "" {
			continue // defined by the flag library: help and completion
		}
		row := fmt.Sprintf("| `--%s` | `%s` | ", f.Name, f.Envar)
		if len(f.Default) > 0 {
			row += fmt.Sprintf("`%s` |", f.Default[0])
		}
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATIONS.md has no row that begins with %q", row)
		}
	}
}
