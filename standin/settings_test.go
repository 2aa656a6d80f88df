package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against invalid settings that pass the check, so that the program
// starts with them.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*settings)
		want   string // part of the error; empty expects none
	}{
		"usable":    {change: func(*settings) {}},
		"host name": {change: func(s *settings) { s.journal = "localhost:7000" }, want: "--journal"},
		"address":   {change: func(s *settings) { s.upstreamIP = "kelso" }, want: "--upstream-address"},
		"upstreams": {change: func(s *settings) { s.upstreams = -1 }, want: "--upstreams"},
		"slots":     {change: func(s *settings) { s.slots = 0 }, want: "--slots"},
		"service":   {change: func(s *settings) { s.service = "" }, want: "--service"},
		"entries":   {change: func(s *settings) { s.keepEntries = -1 }, want: "--keep-entries"},
		"lag":       {change: func(s *settings) { s.hostListLag = -time.Second }, want: "--lag"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := settings{
				journal: "127.0.0.1:0", hosts: "127.0.0.1:0", operator: "127.0.0.1:0", upstreamIP: "127.0.0.1",
				slots: 8, service: "weighbook", dataCentre: "kelso",
			}
			tc.change(&s)
			err := s.check()
			is.Equal(err != nil, tc.want != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), tc.want))
			}
		})
	}
}
