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

// serviceLoad is the load on one service.
type serviceLoad struct {
	service   unit.Service
	share     float64       // weight of the service, in (0, 1]
	runTime   time.Duration // requested from the upstream
	bodyBytes int           // a body has at least the length of the id
	deadline  time.Duration
}

// parseServiceLoad parses "service[:share[:runMs[:bodyBytes]]]". The defaults
// are a share of 1, 5 ms and 256 bytes.
func parseServiceLoad(text string, deadline time.Duration) (serviceLoad, error) {
	s := serviceLoad{share: 1, runTime: 5 * time.Millisecond, bodyBytes: 256, deadline: deadline}
	parts := strings.Split(text, ":")
	s.service = unit.Service(parts[0])
	var err error
	if len(parts) > 1 {
		s.share, err = strconv.ParseFloat(parts[1], 64)
	}
	if len(parts) > 2 && err == nil {
		var ms int
		ms, err = strconv.Atoi(parts[2])
		s.runTime = time.Duration(ms) * time.Millisecond
	}
	if len(parts) > 3 && err == nil {
		s.bodyBytes, err = strconv.Atoi(parts[3])
	}
	if err != nil || s.service == "" || s.share <= 0 || s.share > 1 || s.runTime < 0 || s.bodyBytes < 0 || s.bodyBytes > 1<<20 || len(parts) > 4 {
		return s, fmt.Errorf("service is %q, must be name[:share[:runMs[:bodyBytes]]] with a share in (0, 1]", text)
	}
	return s, nil
}

// sender sends requests at their intended times, independent of the results of
// earlier requests.
type sender struct {
	targets     *target.Ring
	loads       []serviceLoad
	profile     profile.Profile
	maxInFlight int
	rng         *rand.Rand
	tally       *tally.Tally
	client      http.Client
	inFlight    atomic.Int64
	skipped     atomic.Int64 // requests not sent because maxInFlight requests were in flight
}

func newSender(targets *target.Ring, loads []serviceLoad, p profile.Profile, maxInFlight int, seed uint64) *sender {
	return &sender{
		targets: targets, loads: loads, profile: p, maxInFlight: maxInFlight,
		rng: rand.New(rand.NewPCG(seed, 0)), tally: new(tally.Tally),
		client: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight,
			DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		}},
	}
}

// waitReady polls the targets until all of them are ready. It returns an error
// if they are not ready after the timeout. If the timeout is 0, it polls once
// and returns nil.
func (s *sender) waitReady(ctx context.Context, timeout time.Duration) error {
	const pollInterval = 100 * time.Millisecond
	for start := time.Now(); ; {
		s.targets.Poll(ctx)
		if s.targets.ReadyCount() == s.targets.Len() || timeout == 0 {
			return nil
		}
		if time.Since(start) > timeout || !sleep(ctx, pollInterval) {
			return fmt.Errorf("%d of %d targets are ready after %s", s.targets.ReadyCount(), s.targets.Len(), timeout)
		}
	}
}

// run sends all requests of the profile and waits for their answers. It stops
// sending if ctx is done.
func (s *sender) run(ctx context.Context) error {
	g := group.New(ctx)
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	var watcher group.Group
	watcher.Go("targets", func(context.Context) error { return s.targets.Watch(watchCtx) })
	run := strconv.FormatUint(s.rng.Uint64(), 36) // prefix of the request ids
	start := time.Now()
	for i, due := range s.profile.AppendTimes(nil) {
		if !sleep(ctx, time.Until(start.Add(due))) {
			break
		}
		load := s.pickLoad()
		id := unit.Request(fmt.Sprintf("%s-%d", run, i))
		if s.inFlight.Add(1) > int64(s.maxInFlight) {
			s.inFlight.Add(-1)
			s.skipped.Add(1)
			continue
		}
		s.tally.Sent(load.service, id)
		address := s.targets.Next().String()
		g.Go("request", func(ctx context.Context) error {
			defer s.inFlight.Add(-1)
			result := s.exchange(ctx, load, address, id)
			s.tally.Add(tally.Outcome{
				ID: id, Service: load.service, Result: result,
				Latency: time.Since(start.Add(due)), Peak: s.profile.InPeak(due),
			})
			return nil
		})
	}
	err := g.Wait()
	stop()
	s.tally.Close()
	return errors.Join(err, watcher.Wait())
}

// sleep waits for d and reports false if ctx is done before.
func sleep(ctx context.Context, d time.Duration) bool {
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

// pickLoad returns a random service load. The probability of a load is its share
// divided by the sum of all shares.
func (s *sender) pickLoad() serviceLoad {
	sum := 0.0
	for _, load := range s.loads {
		sum += load.share
	}
	x := s.rng.Float64() * sum
	for _, load := range s.loads {
		if x -= load.share; x < 0 {
			return load
		}
	}
	return s.loads[len(s.loads)-1]
}

// payload returns a body that begins with the id and differs from the body of
// every other request. The body has at least the length of the id.
func payload(id unit.Request, size int) []byte {
	b := bytes.Repeat([]byte(string(id)+"."), size/(len(id)+1)+1)
	return b[:max(size, len(id))]
}

// exchange sends one request and returns its result. The connection pool of
// net/http may retry a request that was not sent. To prevent retries, requests
// have a body without GetBody and a method that is not idempotent.
func (s *sender) exchange(ctx context.Context, load serviceLoad, address string, id unit.Request) tally.Result {
	ctx, cancel := context.WithTimeout(ctx, load.deadline+time.Second)
	defer cancel()
	body := payload(id, load.bodyBytes)
	url := fmt.Sprintf("http://%s/s/%s/?ms=%d", address, load.service, load.runTime.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return tally.Lost
	}
	req.ContentLength = int64(len(body))
	req.Header.Set(requestHeader, string(id))
	req.Header.Set(deadlineHeader, strconv.FormatInt(load.deadline.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return resultOfError(err)
	}
	defer resp.Body.Close()
	return classifyAnswer(resp, body)
}

// resultOfError returns the result of a request that failed with err before the
// header of an answer arrived. If the connection could not be established, the
// request was not sent and counts as refused.
func resultOfError(err error) tally.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return tally.Refused
	}
	return tally.Lost
}

// classifyAnswer returns the result for an answer. It compares the body with the
// body that was sent, because the simulated upstream returns the body of the
// request.
func classifyAnswer(resp *http.Response, sent []byte) tally.Result {
	received, err := io.ReadAll(io.LimitReader(resp.Body, 2<<20))
	var v verdict.Verdict
	hasVerdict := v.UnmarshalText([]byte(resp.Header.Get(verdictHeader))) == nil
	switch {
	case err != nil:
		return tally.Truncated
	case hasVerdict && v != verdict.Ran:
		return tally.ResultOf(v)
	case resp.StatusCode != http.StatusOK:
		return tally.Lost
	case len(received) < len(sent) && bytes.HasPrefix(sent, received):
		return tally.Wrong // truncated, but the framing marks it as complete
	case !bytes.Equal(received, sent):
		return tally.Wrong
	default:
		return tally.Whole
	}
}
