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

// The load of the measure. A process without peers uses half of the slots for
// short requests, so that it holds 16 of them; 16 requests of 5 ms each are
// 3,200 a second, and the load is half of that.
const (
	frontUpstreams = 4
	frontRunMs     = 5
	frontRate      = 1600
	frontSegment   = 500 * time.Millisecond
	frontSegments  = 6 // of each side, in turn
	frontRatio     = 1.5
)

func frontMeasures() measure.Group {
	return measure.Group{
		"front.p99ToDirect": {Bound: frontRatio, Run: func() (float64, []outcome.Figure) {
			ratio, figures, err := compareFront(context.Background())
			if err != nil {
				return 0, []outcome.Figure{{Name: "failed:" + strings.ReplaceAll(err.Error(), " ", "-"), Value: 1}}
			}
			return ratio, figures
		}},
	}
}

// compareFront measures the p99 of requests through an entry process and to the
// upstreams directly, in turn, and returns their ratio.
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
	for range frontSegments + 1 { // the first segment opens the connections
		direct.segment(ctx)
		through.segment(ctx)
	}
	a, b := through.best, direct.best
	if through.failed+direct.failed > 0 {
		return 0, nil, fmt.Errorf("%d requests failed", through.failed+direct.failed)
	}
	return float64(a) / float64(b), []outcome.Figure{
		{Name: "throughMs", Value: a.Seconds() * 1000}, {Name: "directMs", Value: b.Seconds() * 1000},
	}, nil
}

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

// sampler sends requests at even intended times and keeps their latencies,
// counted from those times.
type sampler struct {
	client *http.Client
	url    func(i int) string

	mu        sync.Mutex
	latencies []time.Duration // of the segment
	segments  int
	best      time.Duration // lowest p99 of a segment, since other load on the host only ever adds time
	failed    int
}

// segment sends the requests of one segment and waits for their answers.
func (s *sampler) segment(ctx context.Context) {
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
	if s.segments++; s.segments == 2 || s.segments > 2 && s.p99() < s.best {
		s.best = s.p99()
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

// p99 returns the 99th percentile by the nearest-rank method.
func (s *sampler) p99() time.Duration {
	if len(s.latencies) == 0 {
		return 0
	}
	slices.Sort(s.latencies)
	return s.latencies[(len(s.latencies)*99+99)/100-1]
}
