package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

const (
	submitInterval       = 70 * time.Millisecond
	queryInterval        = 25 * time.Millisecond
	maxAttempts          = 6 // of a submission or a cancellation
	perpetualCallers     = 8
	maxPerpetualLifetime = 8 * time.Second
	cancelledJobInterval = 30 * time.Millisecond
	minCancelDelay       = 20 * time.Millisecond
	maxPromptCancel      = 280 * time.Millisecond
	maxLaterCancel       = 2 * time.Second
)

// jobBody returns the body of a submission of a job with two steps, which have
// the given numbers of tasks.
func jobBody(first, second int) string {
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,`+taskSize+`},{"count":%d,`+taskSize+`,"after":[0]}]}`, first, second)
}

// perpetualBody returns the body of a submission of a job with one step of
// perpetual tasks.
func perpetualBody(tasks int) string {
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"perpetual":true,`+taskSize+`}]}`, tasks)
}

// call sends a request for a job to a process. It returns the status and the
// body of the answer. The status is 0 if no complete answer arrived.
func call(ctx context.Context, p *process, method, id, body string) (status int, answer string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callerAddress+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "q.example"
	req.GetBody = nil // keeps the client from retrying the request by itself
	req.Header.Set("X-Mimosadock-Deadline-Ms", "3000")
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read or the call has failed
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// submitBatchJob submits a batch job and cancels one in 20 accepted ones.
func (s *scenario) submitBatchJob(ctx context.Context, r *rand.Rand, id string) {
	first, second := 1+r.Intn(4), 1+r.Intn(3)
	s.checker.RecordSubmission(id, first, first+second)
	if s.submitJob(ctx, r, id, jobBody(first, second)) && r.Intn(20) == 0 {
		s.cancelJob(ctx, r, id, maxAttempts)
	}
}

// submitPerpetualJobs submits perpetual jobs one after the other until the end.
// It cancels a job after a random time, except one in three, which runs until the
// scenario is closed.
func (s *scenario) submitPerpetualJobs(ctx context.Context, r *rand.Rand, end time.Time, nextID func() string) {
	for time.Now().Before(end) && ctx.Err() == nil {
		id, tasks := nextID(), 1+r.Intn(3)
		s.checker.RecordPerpetualSubmission(id, tasks)
		if !s.submitJob(ctx, r, id, perpetualBody(tasks)) {
			continue
		}
		if r.Intn(3) == 0 {
			return
		}
		select {
		case <-time.After(time.Second + time.Duration(r.Int63n(int64(maxPerpetualLifetime)))):
		case <-ctx.Done():
			return
		}
		s.cancelJob(ctx, r, id, maxAttempts)
	}
}

// submitAndCancelJobs submits jobs at short intervals until the end and cancels
// most of them soon after their acceptance.
func (s *scenario) submitAndCancelJobs(ctx context.Context, seed int64, end time.Time) {
	callerRNG := rand.New(rand.NewSource(seed))
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		id, r := fmt.Sprintf("%08x%08x", uint32(seed), n), rand.New(rand.NewSource(callerRNG.Int63()))
		s.group.Go("caller", func(ctx context.Context) error {
			s.submitAndCancelJob(ctx, r, id)
			return nil
		})
		time.Sleep(cancelledJobInterval)
	}
}

// submitAndCancelJob submits a job, which is perpetual in one of two cases, and
// cancels it until that is confirmed. One batch job in four is not cancelled. The
// cancellation follows up to maxPromptCancel after the acceptance, in one case of
// four up to maxLaterCancel.
func (s *scenario) submitAndCancelJob(ctx context.Context, r *rand.Rand, id string) {
	tasks, perpetual := 1+r.Intn(2), r.Intn(2) == 0
	body, delay := jobBody(tasks, 1), minCancelDelay+time.Duration(r.Int63n(int64(maxPromptCancel)))
	if perpetual {
		body = perpetualBody(tasks)
		s.checker.RecordPerpetualSubmission(id, tasks)
	} else {
		s.checker.RecordSubmission(id, tasks, tasks+1)
	}
	if r.Intn(4) == 0 {
		delay = time.Duration(r.Int63n(int64(maxLaterCancel)))
	}
	if !s.submitJob(ctx, r, id, body) || !perpetual && r.Intn(4) == 0 {
		return
	}
	time.Sleep(delay)
	s.cancelJob(ctx, r, id, math.MaxInt)
}

// submitJob submits a job, records the result for the caller and reports whether
// the job was accepted. It retries at random processes until the job is accepted
// or maxAttempts is reached.
func (s *scenario) submitJob(ctx context.Context, r *rand.Rand, id, body string) bool {
	unknown := false
	for range maxAttempts {
		status, _ := call(ctx, s.randomProcess(r), http.MethodPost, id, body)
		switch status {
		case http.StatusOK:
			s.checker.RecordAccepted(id)
			s.addAccepted(id)
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			unknown = true
		}
		time.Sleep(time.Duration(50+r.Intn(300)) * time.Millisecond)
	}
	if !unknown {
		s.checker.RecordRefused(id)
	}
	return false
}

// cancelJob cancels a job, with at most the given number of attempts at random
// processes. By the platform's protocol, the answer that there is no such job
// confirms the cancellation too.
func (s *scenario) cancelJob(ctx context.Context, r *rand.Rand, id string, attempts int) {
	// The job may be reported as cancelled from the first attempt on, even if no
	// attempt is confirmed.
	s.checker.RecordCancelled(id, time.Now().Add(time.Hour))
	for n := 0; n < attempts && ctx.Err() == nil; n++ {
		switch status, _ := call(ctx, s.randomProcess(r), http.MethodDelete, id, ""); status {
		case http.StatusOK:
			s.checker.RecordCancelled(id, time.Now())
			return
		case http.StatusGone:
			s.checker.RecordCancelUnknown(id, n == 0, time.Now())
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// queryState queries the state of a job at a process and records it.
func (s *scenario) queryState(ctx context.Context, p *process, id string) {
	status, answer := call(ctx, p, http.MethodGet, id, "")
	switch status {
	case http.StatusGone:
		s.checker.RecordState(id, "")
	case http.StatusOK:
		var a struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(answer), &a); err != nil || a.State == "" {
			s.t.Errorf("invalid answer for job %s: %q", id, answer)
			return
		}
		s.checker.RecordState(id, a.State)
	}
}

func (s *scenario) addAccepted(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, id)
}

// randomAcceptedJob returns a random accepted job, or false if there is none.
func (s *scenario) randomAcceptedJob(r *rand.Rand) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.accepted) == 0 {
		return "", false
	}
	return s.accepted[r.Intn(len(s.accepted))], true
}
