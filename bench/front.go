package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"mimosadock/bench/measure"
	"mimosadock/entry/control"
	"mimosadock/entry/process"
	"mimosadock/entry/setting"
	"mimosadock/replay/outcome"
	"mimosadock/schedule/group"
	"mimosadock/schedule/service"
	"mimosadock/standin/upstream"
)

// The load of the measure and its bound. A process without peers uses half of
// the slots for short requests, which is 16 slots. With requests of 5 ms these
// slots serve 3,200 requests per second. The load is half of that.
const (
	frontUpstreams = 4
	frontRunMs     = 5
	frontRate      = 1600 // requests per second
	frontSegment   = 500 * time.Millisecond
	frontSegments  = 6   // per side; the sides alternate
	maxFrontRatio  = 1.5 // of the p99 through the process and the direct p99
)

func frontMeasures() measure.Group {
	return measure.Group{
		"front.p99ToDirect": {Bound: maxFrontRatio, Run: func() (float64, []outcome.Figure) {
			ratio, figures, err := compareFront(context.Background())
			if err != nil {
				return 0, []outcome.Figure{{Name: "failed:" + strings.ReplaceAll(err.Error(), " ", "-"), Value: 1}}
			}
			return ratio, figures
		}},
	}
}

// compareFront alternately sends requests through an entry process and directly
// to the upstreams. It returns the ratio of the p99 through the process to the
// direct p99, and both as figures. It returns an error if a request failed.
func compareFront(ctx context.Context) (float64, []outcome.Figure, error) {
	addresses := make([]string, frontUpstreams)
	for i := range addresses {
		srv := httptest.NewServer(new(upstream.Upstream))
		defer srv.Close()
		addresses[i] = srv.Listener.Addr().String()
	}
	p, stop, err := openProcess(ctx, addresses)
	if err != nil {
		return 0, nil, err
	}
	defer stop()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	through := sampler{client: client, url: func(int) string { return "http://" + p.CallerAddress() + "/s/lookup/" }}
	direct := sampler{client: client, url: func(i int) string { return "http://" + addresses[i%len(addresses)] + "/" }}
	for range frontSegments + 1 { // the first segment opens connections and is not counted
		direct.runSegment(ctx)
		through.runSegment(ctx)
	}
	throughP99, directP99 := through.minP99, direct.minP99
	if through.failed+direct.failed > 0 {
		return 0, nil, fmt.Errorf("%d requests failed", through.failed+direct.failed)
	}
	return float64(throughP99) / float64(directP99), []outcome.Figure{
		{Name: "throughMs", Value: throughP99.Seconds() * 1000}, {Name: "directMs", Value: directP99.Seconds() * 1000},
	}, nil
}

// openProcess starts an entry process with a service on the given upstreams and
// waits until it is ready. It returns the process and a function that stops it.
func openProcess(ctx context.Context, addresses []string) (*process.Process, func(), error) {
	text, err := service.Parse([]byte(frontText(addresses)))
	if err != nil {
		return nil, nil, err
	}
	p, err := process.Open(setting.Settings{Listen: "127.0.0.1:0", Operator: "127.0.0.1:0", DataCentre: "kelso", LogLevel: "warn"}, log.New(io.Discard))
	if err != nil {
		return nil, nil, err
	}
	g := group.New(ctx)
	g.Go("entry", func(ctx context.Context) error { return p.Run(ctx, context.Background()) })
	stop := func() {
		g.Stop()
		_ = g.Wait()
	}
	if err := p.Loop.Send(ctx, control.SetText{Revision: 1, Text: text}); err != nil {
		stop()
		return nil, nil, err
	}
	for range 200 {
		if p.Loop.View().Ready {
			return p, stop, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	stop()
	return nil, nil, errors.New("process did not become ready")
}

// frontText returns the services text with the given upstream addresses.
func frontText(addresses []string) string {
	var members strings.Builder
	for _, a := range addresses {
		fmt.Fprintf(&members, "\n      - {address: %q, dataCentre: kelso}", a)
	}
	return fmt.Sprintf(`version: 1
capacity: {cpu: 64000, memory: 65536}
dataCentres:
  - {name: kelso, region: lowland}
teams:
  - {name: marts, quota: {cpu: 32000, memory: 32768}}
upstreamSets:
  - name: weighbook
    slots: 8
    members:%s
services:
  - {name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true}
`, members.String())
}

// sampler sends requests at evenly spaced intended times and stores their
// latencies, counted from the intended times.
type sampler struct {
	client *http.Client
	url    func(i int) string

	mu           sync.Mutex
	latencies    []time.Duration // of the current segment
	segmentCount int
	minP99       time.Duration // lowest p99 of a segment; other load on the host can only add latency
	failed       int
}

// runSegment sends the requests of one segment, waits for their answers and
// updates minP99. It ignores the p99 of the first segment.
func (s *sampler) runSegment(ctx context.Context) {
	g := group.New(ctx)
	start, n := time.Now(), int(frontRate*frontSegment.Seconds())
	for i := range n {
		due := start.Add(frontSegment * time.Duration(i) / time.Duration(n))
		time.Sleep(time.Until(due))
		g.Go("request", func(ctx context.Context) error {
			err := s.exchange(ctx, i)
			s.add(time.Since(due), err)
			return nil
		})
	}
	_ = g.Wait()
	if s.segmentCount++; s.segmentCount == 2 || s.segmentCount > 2 && s.p99() < s.minP99 {
		s.minP99 = s.p99()
	}
	s.latencies = s.latencies[:0]
}

func (s *sampler) add(l time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	s.latencies = append(s.latencies, l)
}

func (s *sampler) exchange(ctx context.Context, i int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s?ms=%d", s.url(i), frontRunMs), strings.NewReader("weigh"))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(body) != "weigh") {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// p99 returns the 99th percentile of the latencies of the current segment by the
// nearest-rank method, or 0 if there are none.
func (s *sampler) p99() time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[(len(s.latencies)*99+99)/100-1]
}
