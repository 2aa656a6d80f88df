package rig3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	deadline    = 3 * time.Second // time limit of the requesters
)

// requester sends requests to the processes in turn.
type requester struct {
	processes []*process
	record    *record
	jobs      *jobTable
	client    http.Client
	turn      atomic.Int64
}

func newRequester(processes []*process, r *record, jobs *jobTable) *requester {
	return &requester{processes: processes, record: r, jobs: jobs, client: http.Client{Timeout: deadline}}
}

// call sends a request to the next process. The status is 0 if there is no answer.
func (q *requester) call(method, id string, body []byte) (status int, answer string) {
	p := q.processes[int(q.turn.Add(1))%len(q.processes)]
	req, err := http.NewRequest(method, "http://"+p.host.Address(0)+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Mimosadock-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := q.client.Do(req)
	if err != nil {
		q.record.add("client %s %s at %s: no answer", method, id, p.name)
		return 0, ""
	}
	b, _ := io.ReadAll(resp.Body) // a part is good enough for the record
	_ = resp.Body.Close()
	q.record.add("client %s %s at %s: %d %s", method, id, p.name, resp.StatusCode, bytes.TrimSpace(b))
	return resp.StatusCode, string(b)
}

// submit hands a submission in, with retries at other processes.
func (q *requester) submit(id string, s *submission, attempts int) bool {
	q.jobs.put(id, s)
	for range attempts {
		if status, _ := q.call(http.MethodPost, id, s.body()); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission, with retries at other processes.
func (q *requester) state(id string, attempts int) (state string, ok bool) {
	for range attempts {
		status, answer := q.call(http.MethodGet, id, nil)
		if status == http.StatusOK {
			var b struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal([]byte(answer), &b) // an odd answer has no state
			return b.State, true
		}
		if status == http.StatusGone {
			return "", true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", false
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
