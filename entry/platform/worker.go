package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

var _ worker.Agent = (*Workers)(nil)

// maxResponseBytes bounds the response of a worker. The report of a full worker
// has at most a few kilobytes per attempt.
const maxResponseBytes = 8 << 20

// Workers is a client of all workers of the platform. The zero value is ready to
// use. It is safe for concurrent use.
//
// Each command opens a connection and writes its request without an
// [http.Transport]. The transport repeats requests automatically after a
// connection failure, and a start must not be sent twice without the knowledge
// of the calling function.
type Workers struct {
	dialer net.Dialer
}

// throttleBody is the body of a throttle command.
type throttleBody struct {
	worker.Command
	Share float64 `json:"share"`
}

// refusalBody is the body of the response to a refused command.
type refusalBody struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason"`
	Fenced  bool            `json:"fenced"`
}

// Start starts an attempt of a task.
func (p *Workers) Start(ctx context.Context, w unit.Worker, s worker.Start) error {
	return p.post(ctx, w, "start", s, nil)
}

// Renew extends leases and returns the worker's report of its attempts and kept
// results.
func (p *Workers) Renew(ctx context.Context, w unit.Worker, r worker.Renewal) (worker.Report, error) {
	var rep worker.Report
	err := p.post(ctx, w, "renew", r, &rep)
	return rep, err
}

// Checkpoint requests a checkpoint of an attempt.
func (p *Workers) Checkpoint(ctx context.Context, w unit.Worker, c worker.Command) error {
	return p.post(ctx, w, "checkpoint", c, nil)
}

// Throttle limits an attempt to a share of its processor limit.
func (p *Workers) Throttle(ctx context.Context, w unit.Worker, c worker.Command, share float64) error {
	return p.post(ctx, w, "throttle", throttleBody{c, share}, nil)
}

// Stop ends an attempt.
func (p *Workers) Stop(ctx context.Context, w unit.Worker, c worker.Command) error {
	return p.post(ctx, w, "stop", c, nil)
}

// Release deletes a result that the worker keeps.
func (p *Workers) Release(ctx context.Context, w unit.Worker, c worker.Command) error {
	return p.post(ctx, w, "release", c, nil)
}

// post sends one command. It decodes the response into dst unless dst is nil.
func (p *Workers) post(ctx context.Context, w unit.Worker, command string, body, dst any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "command can't be encoded", Err: err}
	}
	url := fmt.Sprintf("http://%s/worker/v1/%s", w, command)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "worker has no valid address", Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	conn, err := p.dialer.DialContext(ctx, "tcp", string(w))
	if err != nil {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "worker refused the connection", Err: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if err := exchange(conn, req, dst); err != nil {
		return err
	}
	return nil
}

// exchange writes the request and reads the response. After the first byte may
// have been written, only a response of the worker can prove that the command
// did not run.
func exchange(conn net.Conn, req *http.Request, dst any) error {
	req.Close = true
	if err := req.Write(conn); err != nil {
		return lostResponse(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return lostResponse(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return lostResponse(err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp.StatusCode, body)
	}
	if dst == nil {
		return nil
	}
	if err := json.Unmarshal(body, dst); err != nil {
		return lostResponse(err)
	}
	return nil
}

// lostResponse returns the error of a command without a usable response.
func lostResponse(err error) error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "answer of the worker was lost", Err: err}
}

// decodeRefusal returns the error in a worker's response. The verdict of a
// response that is not a worker's refusal is MayHaveRun.
func decodeRefusal(status int, body []byte) error {
	var r refusalBody
	if json.Unmarshal(body, &r) != nil || r.Reason == "" {
		return lostResponse(fmt.Errorf("status %d", status))
	}
	e := &verdict.Error{Verdict: r.Verdict, Reason: r.Reason}
	if r.Fenced {
		e.Err = worker.ErrFenced
	}
	return e
}
