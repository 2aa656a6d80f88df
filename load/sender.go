package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mimosadock/load/profile"
	"mimosadock/load/tally"
	"mimosadock/load/target"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Headers of the caller protocol.
const (
	deadlineHeader = "Mimosa-Deadline-Ms"
	requestHeader  = "Mimosa-Request-Id"
	verdictHeader  = "Mimosa-Verdict"
)

// stream is the load on one service.
type stream struct {
	service  unit.Service
	share    float64       // of the rate, in (0, 1]
	run      time.Duration // asked of the upstream
	body     int           // bytes, at least the length of the id
	deadline time.Duration
}

// parseStream reads "service[:share[:runMs[:bodyBytes]]]".
func parseStream(text string, deadline time.Duration) (stream, error) {
	s := stream{share: 1, run: 5 * time.Millisecond, body: 256, deadline: deadline}
	parts := strings.Split(text, ":")
	s.service = unit.Service(parts[0])
	var err error
	if len(parts) > 1 {
		s.share, err = strconv.ParseFloat(parts[1], 64)
	}
	if len(parts) > 2 && err == nil {
		var ms int
		ms, err = strconv.Atoi(parts[2])
		s.run = time.Duration(ms) * time.Millisecond
	}
	if len(parts) > 3 && err == nil {
		s.body, err = strconv.Atoi(parts[3])
	}
	if err != nil || s.service == "" || s.share <= 0 || s.share > 1 || s.run < 0 || s.body < 0 || s.body > 1<<20 || len(parts) > 4 {
		return s, fmt.Errorf("service is %q, must be name[:share[:runMs[:bodyBytes]]] with a share in (0, 1]", text)
	}
	return s, nil
}

// sender sends requests at their intended times, whatever became of earlier
// ones.
type sender struct {
	targets *target.Ring
	streams []stream
	profile profile.Profile
	open    int // most requests in flight
	rng     *rand.Rand
	tally   *tally.Tally
	client  http.Client
	flight  atomic.Int64
	held    atomic.Int64 // requests that were not sent because too many were in flight
}

func newSender(targets *target.Ring, streams []stream, p profile.Profile, open int, seed uint64) *sender {
	return &sender{
		targets: targets, streams: streams, profile: p, open: open,
		rng: rand.New(rand.NewPCG(seed, 0)), tally: new(tally.Tally),
		client: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: open,
			DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		}},
	}
}

// awaitReady waits until all targets are ready.
func (s *sender) awaitReady(ctx context.Context, limit time.Duration) error {
	const again = 100 * time.Millisecond
	for start := time.Now(); ; {
		s.targets.Look(ctx)
		if s.targets.Ready() == s.targets.Len() || limit == 0 {
			return nil
		}
		if time.Since(start) > limit || !wait(ctx, again) {
			return fmt.Errorf("%d of %d targets are ready after %s", s.targets.Ready(), s.targets.Len(), limit)
		}
	}
}

// run sends all requests of the profile and waits for their answers.
func (s *sender) run(ctx context.Context) error {
	g := group.New(ctx)
	watch, stop := context.WithCancel(ctx)
	defer stop()
	var watcher group.Group
	watcher.Go("targets", func(context.Context) error { return s.targets.Watch(watch) })
	run := strconv.FormatUint(s.rng.Uint64(), 36)
	start := time.Now()
	for i, due := range s.profile.AppendTimes(nil) {
		if !wait(ctx, time.Until(start.Add(due))) {
			break
		}
		st := s.pick()
		id := unit.Request(fmt.Sprintf("%s-%d", run, i))
		if s.flight.Add(1) > int64(s.open) {
			s.flight.Add(-1)
			s.held.Add(1)
			continue
		}
		s.tally.Sent(st.service, id)
		to := s.targets.Next().String()
		g.Go("request", func(ctx context.Context) error {
			defer s.flight.Add(-1)
			result := s.exchange(ctx, st, to, id)
			s.tally.Add(tally.Answer{
				ID: id, Service: st.service, Result: result,
				Latency: time.Since(start.Add(due)), Peak: s.profile.InSwing(due),
			})
			return nil
		})
	}
	err := g.Wait()
	stop()
	s.tally.Close()
	return errors.Join(err, watcher.Wait())
}

// wait sleeps for d and reports false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pick chooses a stream by its share of the sum of shares.
func (s *sender) pick() stream {
	sum := 0.0
	for _, st := range s.streams {
		sum += st.share
	}
	x := s.rng.Float64() * sum
	for _, st := range s.streams {
		if x -= st.share; x < 0 {
			return st
		}
	}
	return s.streams[len(s.streams)-1]
}

// payload returns a body that begins with the id and is unlike that of any
// other request.
func payload(id unit.Request, size int) []byte {
	b := bytes.Repeat([]byte(string(id)+"."), size/(len(id)+1)+1)
	return b[:max(size, len(id))]
}

// exchange sends one request and says what became of it. The connection pool of
// net/http may repeat a request that never left; requests have bodies without
// GetBody and a method that is not idempotent, so that it doesn't.
func (s *sender) exchange(ctx context.Context, st stream, to string, id unit.Request) tally.Result {
	ctx, cancel := context.WithTimeout(ctx, st.deadline+time.Second)
	defer cancel()
	body := payload(id, st.body)
	url := fmt.Sprintf("http://%s/s/%s/?ms=%d", to, st.service, st.run.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return tally.Lost
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(requestHeader, string(id))
	req.Header.Set(deadlineHeader, strconv.FormatInt(st.deadline.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return failed(err)
	}
	defer resp.Body.Close()
	return judge(resp, body)
}

// failed returns the result of a request without the head of an answer. A
// refused connection took nothing.
func failed(err error) tally.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return tally.Refused
	}
	return tally.Lost
}

// judge compares an answer with the body that was sent, which the stand-in
// upstream returns.
func judge(resp *http.Response, sent []byte) tally.Result {
	got, err := io.ReadAll(io.LimitReader(resp.Body, 2<<20))
	var v verdict.Verdict
	named := v.UnmarshalText([]byte(resp.Header.Get(verdictHeader))) == nil
	switch {
	case err != nil:
		return tally.Truncated
	case named && v != verdict.Ran:
		return tally.ResultOf(v)
	case resp.StatusCode != http.StatusOK:
		return tally.Lost
	case len(got) < len(sent) && bytes.HasPrefix(sent, got):
		return tally.Wrong // a shorter answer that claims to be whole
	case !bytes.Equal(got, sent):
		return tally.Wrong
	default:
		return tally.Whole
	}
}
