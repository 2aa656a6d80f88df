package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

const (
	submitInterval = 70 * time.Millisecond
	queryInterval  = 25 * time.Millisecond
	maxAttempts    = 6 // of a submission
)

// jobBody returns the body of a job with two steps.
func jobBody(first, second int) string {
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"mem_mb":100,"estimated_ms":100},{"count":%d,"cpu":500,"mem_mb":100,"estimated_ms":100,"after":[0]}]}`, first, second)
}

// call makes a call to a process. The status is 0 if no whole answer came.
func call(ctx context.Context, p *process, method, id, body string) (status int, answer string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callerAddress+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "q.example"
	req.GetBody = nil // a call must not be sent twice by itself
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

// submitJob hands a job in, at any process and again after an attempt without an
// outcome, and notes what the caller knows in the end.
func (d *scenario) submitJob(ctx context.Context, r *rand.Rand, id string) {
	first, second := 1+r.Intn(4), 1+r.Intn(3)
	d.checker.RecordSubmission(id, first, first+second)
	unknown := false
	for range maxAttempts {
		status, _ := call(ctx, d.processes[r.Intn(len(d.processes))], http.MethodPost, id, jobBody(first, second))
		switch status {
		case http.StatusOK:
			d.checker.RecordAccepted(id)
			d.addAccepted(id)
			if r.Intn(20) == 0 {
				d.cancelJob(ctx, r, id)
			}
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			unknown = true
		}
		time.Sleep(time.Duration(50+r.Intn(300)) * time.Millisecond)
	}
	if !unknown {
		d.checker.RecordRefused(id)
	}
}

func (d *scenario) cancelJob(ctx context.Context, r *rand.Rand, id string) {
	// From the first attempt on it may be shown as cancelled.
	d.checker.RecordCancelled(id, time.Now().Add(time.Hour))
	for range maxAttempts {
		if status, _ := call(ctx, d.processes[r.Intn(len(d.processes))], http.MethodDelete, id, ""); status == http.StatusOK {
			d.checker.RecordCancelled(id, time.Now())
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// queryState asks a process for the state of a job.
func (d *scenario) queryState(ctx context.Context, p *process, id string) {
	status, answer := call(ctx, p, http.MethodGet, id, "")
	switch status {
	case http.StatusGone:
		d.checker.RecordState(id, "")
	case http.StatusOK:
		var a struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(answer), &a); err != nil || a.State == "" {
			d.t.Errorf("answer for %s can't be read: %q", id, answer)
			return
		}
		d.checker.RecordState(id, a.State)
	}
}

func (d *scenario) addAccepted(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = append(d.accepted, id)
}

// randomAcceptedJob returns an accepted job, or false if there is none.
func (d *scenario) randomAcceptedJob(r *rand.Rand) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.accepted) == 0 {
		return "", false
	}
	return d.accepted[r.Intn(len(d.accepted))], true
}
