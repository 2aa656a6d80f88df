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
	submitEvery = 70 * time.Millisecond
	askEvery    = 25 * time.Millisecond
	attempts    = 6 // of a submission
)

// spec returns the body of a job with two steps.
func spec(first, second int) string {
	return fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"mem_mb":100,"estimated_ms":100},{"count":%d,"cpu":500,"mem_mb":100,"estimated_ms":100,"after":[0]}]}`, first, second)
}

// call makes a call to a process. The status is 0 if no whole answer came.
func call(ctx context.Context, p *process, method, id, body string) (status int, answer string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers+"/q/"+id, strings.NewReader(body))
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

// submit hands a job in, at any process and again after an attempt without an
// outcome, and notes what the caller knows in the end.
func (d *day) submit(ctx context.Context, r *rand.Rand, id string) {
	first, second := 1+r.Intn(4), 1+r.Intn(3)
	d.ledger.Submitting(id, first, first+second)
	unknown := false
	for range attempts {
		status, _ := call(ctx, d.processes[r.Intn(len(d.processes))], http.MethodPost, id, spec(first, second))
		switch status {
		case http.StatusOK:
			d.ledger.Accepted(id)
			d.note(id)
			if r.Intn(20) == 0 {
				d.cancel(ctx, r, id)
			}
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			unknown = true
		}
		time.Sleep(time.Duration(50+r.Intn(300)) * time.Millisecond)
	}
	if !unknown {
		d.ledger.Refused(id)
	}
}

func (d *day) cancel(ctx context.Context, r *rand.Rand, id string) {
	// From the first attempt on it may be shown as cancelled.
	d.ledger.Cancelled(id, time.Now().Add(time.Hour))
	for range attempts {
		if status, _ := call(ctx, d.processes[r.Intn(len(d.processes))], http.MethodDelete, id, ""); status == http.StatusOK {
			d.ledger.Cancelled(id, time.Now())
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// ask asks a process for the state of a job.
func (d *day) ask(ctx context.Context, p *process, id string) {
	status, answer := call(ctx, p, http.MethodGet, id, "")
	switch status {
	case http.StatusGone:
		d.ledger.Shown(id, "")
	case http.StatusOK:
		var a struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(answer), &a); err != nil || a.State == "" {
			d.t.Errorf("answer for %s can't be read: %q", id, answer)
			return
		}
		d.ledger.Shown(id, a.State)
	}
}

func (d *day) note(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted = append(d.accepted, id)
}

// any returns an accepted job, or false if there is none.
func (d *day) any(r *rand.Rand) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.accepted) == 0 {
		return "", false
	}
	return d.accepted[r.Intn(len(d.accepted))], true
}
