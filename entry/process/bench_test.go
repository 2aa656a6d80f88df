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

// testProcess is a running process with its stand-in upstreams.
type testProcess struct {
	*Process
	upstreams []*upstream.Server
	stop      context.CancelFunc
	kill      context.CancelFunc
	group     *group.Group
}

// secretHash is the SHA-256 of the token "secret".
const secretHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

// startProcess runs a process with n upstreams of 8 slots until the test ends.
// It returns when the process is ready. The argument wait is its BalancerWait.
func startProcess(tb testing.TB, n int, wait time.Duration) *testProcess {
	s := new(testProcess)
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
	s.Process, err = Open(setting.Settings{Listen: "127.0.0.1:0", Operator: "127.0.0.1:0", DataCentre: "kelso", OperatorTokenHash: secretHash, BalancerWait: wait, DrainFor: time.Minute}, log.New(io.Discard))
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

// p99 sends n requests from each client concurrently and returns the 99th
// percentile of all response times.
func p99(b *testing.B, client *http.Client, clients, n int, url func(i int) string) time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			clientTimes := make([]time.Duration, 0, n)
			for range n {
				sentAt := time.Now()
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
				clientTimes = append(clientTimes, time.Since(sentAt))
			}
			mu.Lock()
			defer mu.Unlock()
			times = append(times, clientTimes...)
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times[len(times)*99/100]
}

// BenchmarkAddedLatency compares the p99 of requests through the process with
// the p99 of direct requests to the upstreams. Both alternate within one run. The
// load is half of the quick slots, which are 4 of the 8 slots of each upstream.
// The ratio must be at most 1.5, which the benchmark doesn't check.
func BenchmarkAddedLatency(b *testing.B) {
	for _, ms := range []int{0, 5} {
		b.Run(fmt.Sprintf("work=%dms", ms), func(b *testing.B) {
			const clients, requestsPerClient = 8, 250
			s := startProcess(b, 4, 0)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
			through := func(int) string { return fmt.Sprintf("http://%s/s/lookup/?ms=%d", s.CallerAddress(), ms) }
			direct := func(i int) string {
				return fmt.Sprintf("http://%s/?ms=%d", s.upstreams[i%len(s.upstreams)].Address(), ms)
			}
			p99(b, client, clients, requestsPerClient, through)
			p99(b, client, clients, requestsPerClient, direct)
			var viaProcess, viaUpstream time.Duration
			for b.Loop() {
				viaUpstream += p99(b, client, clients, requestsPerClient, direct)
				viaProcess += p99(b, client, clients, requestsPerClient, through)
			}
			b.ReportMetric(float64(viaProcess.Microseconds())/float64(b.N), "p99-us")
			b.ReportMetric(float64(viaUpstream.Microseconds())/float64(b.N), "direct-p99-us")
			b.ReportMetric(float64(viaProcess)/float64(viaUpstream), "ratio")
		})
	}
}
