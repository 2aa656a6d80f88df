package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"mimosadock/entry/control"
	"mimosadock/entry/setting"
	"mimosadock/schedule/group"
	"mimosadock/schedule/service"
	"mimosadock/standin/upstream"
)

// started is a process that serves, with its upstreams.
type started struct {
	*Process
	upstreams []*upstream.Server
	stop      context.CancelFunc
	kill      context.CancelFunc
	group     *group.Group
}

// secretHash is the SHA-256 of the token "secret".
const secretHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

// start runs a process with n upstreams of 8 slots until the test ends.
func start(tb testing.TB, n int, wait time.Duration) *started {
	s := new(started)
	members := make([]string, n)
	for i := range n {
		u, err := upstream.Listen()
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { u.Close() })
		s.upstreams = append(s.upstreams, u)
		members[i] = fmt.Sprintf("{address: %q, dataCentre: kelso}", u.Address())
	}
	text, err := service.Parse([]byte(`version: 1
dataCentres: [{name: kelso, region: lowland}]
teams: [{name: marts}]
upstreamSets: [{name: weighbook, slots: 8, members: [` + strings.Join(members, ", ") + `]}]
services:
  - {name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 5000, idempotent: true}
  - {name: order, team: marts, class: standard, upstreamSet: weighbook, deadlineMs: 5000}
  - {name: report, team: marts, class: bulk, upstreamSet: weighbook, deadlineMs: 5000, idempotent: true}
  - {name: watch, team: marts, class: long, upstreamSet: weighbook, deadlineMs: 60000}
`))
	if err != nil {
		tb.Fatal(err)
	}
	s.Process, err = Open(setting.Settings{Listen: "127.0.0.1:0", Operator: "127.0.0.1:0", DataCentre: "kelso", OperatorToken: secretHash, BalancerWait: wait, DrainFor: time.Minute}, log.New(io.Discard))
	if err != nil {
		tb.Fatal(err)
	}
	var stop, kill context.Context
	stop, s.stop = context.WithCancel(context.Background())
	kill, s.kill = context.WithCancel(context.Background())
	s.group = group.New(context.Background())
	s.group.Go("entry", func(context.Context) error { return s.Run(stop, kill) })
	tb.Cleanup(func() { s.stop(); s.kill(); _ = s.group.Wait() })
	if err := s.Loop.Send(stop, control.SetText{Revision: 1, Text: text}); err != nil {
		tb.Fatal(err)
	}
	for !s.Loop.View().Ready {
		time.Sleep(time.Millisecond)
	}
	return s
}

// p99 sends n requests from each of several clients and returns the p99 of all.
func p99(b *testing.B, client *http.Client, clients, n int, url func(i int) string) time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			own := make([]time.Duration, 0, n)
			for range n {
				at := time.Now()
				resp, err := client.Post(url(c), "text/plain", strings.NewReader("animal 17"))
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Errorf("status %d", resp.StatusCode)
				}
				own = append(own, time.Since(at))
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, own...)
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times[len(times)*99/100]
}

// BenchmarkAdded measures the p99 of requests through the process against
// direct ones at half of the slots, in turns within one run. The bound of the
// ratio is 1.5.
func BenchmarkAdded(b *testing.B) {
	for _, ms := range []int{0, 5} {
		b.Run(fmt.Sprintf("work=%dms", ms), func(b *testing.B) {
			const clients, each = 8, 250
			s := start(b, 4, 0)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
			through := func(int) string { return fmt.Sprintf("http://%s/s/lookup/?ms=%d", s.CallerAddress(), ms) }
			direct := func(i int) string {
				return fmt.Sprintf("http://%s/?ms=%d", s.upstreams[i%len(s.upstreams)].Address(), ms)
			}
			p99(b, client, clients, each, through)
			p99(b, client, clients, each, direct)
			var own, base time.Duration
			for b.Loop() {
				base += p99(b, client, clients, each, direct)
				own += p99(b, client, clients, each, through)
			}
			b.ReportMetric(float64(own.Microseconds())/float64(b.N), "p99-us")
			b.ReportMetric(float64(base.Microseconds())/float64(b.N), "direct-p99-us")
			b.ReportMetric(float64(own)/float64(base), "ratio")
		})
	}
}
