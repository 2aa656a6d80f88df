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

// maxAnswer bounds the answer of a worker. A report of a full worker has a few
// kilobytes for each attempt at most.
const maxAnswer = 8 << 20

// Workers speaks to the workers of the platform. The zero value is ready to
// use. It is safe for concurrent use.
//
// Each command has a connection of its own, which it writes to itself: the
// transport of net/http by itself repeats requests on a connection that broke,
// and a start must not be sent twice without its caller knowing.
type Workers struct {
	dialer net.Dialer
}

// throttle is the body of the throttle command.
type throttle struct {
	worker.Command
	Share float64 `json:"share"`
}

// refusal is the body of an answer to a command that was refused.
type refusal struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason"`
	Fenced  bool            `json:"fenced"`
}

// Start starts an attempt.
func (p *Workers) Start(ctx context.Context, w unit.Worker, s worker.Start) error {
	return p.post(ctx, w, "start", s, nil)
}

// Renew extends leases and returns what the worker runs and keeps.
func (p *Workers) Renew(ctx context.Context, w unit.Worker, r worker.Renewal) (worker.Report, error) {
	var rep worker.Report
	err := p.post(ctx, w, "renew", r, &rep)
	return rep, err
}

// Checkpoint asks for a checkpoint.
func (p *Workers) Checkpoint(ctx context.Context, w unit.Worker, c worker.Command) error {
	return p.post(ctx, w, "checkpoint", c, nil)
}

// Throttle limits an attempt to a share of its processor limit.
func (p *Workers) Throttle(ctx context.Context, w unit.Worker, c worker.Command, share float64) error {
	return p.post(ctx, w, "throttle", throttle{c, share}, nil)
}

// Stop ends an attempt.
func (p *Workers) Stop(ctx context.Context, w unit.Worker, c worker.Command) error {
	return p.post(ctx, w, "stop", c, nil)
}

// Release drops a kept result.
func (p *Workers) Release(ctx context.Context, w unit.Worker, c worker.Command) error {
	return p.post(ctx, w, "release", c, nil)
}

// post sends one command and reads its answer into dst, if that is not nil.
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

// exchange writes the request and reads the answer. Once a byte may have been
// written, only an answer can tell that the command did not run.
func exchange(conn net.Conn, req *http.Request, dst any) error {
	req.Close = true
	if err := req.Write(conn); err != nil {
		return lost(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return lost(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return lost(err)
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp.StatusCode, body)
	}
	if dst == nil {
		return nil
	}
	if err := json.Unmarshal(body, dst); err != nil {
		return lost(err)
	}
	return nil
}

func lost(err error) error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "answer of the worker was lost", Err: err}
}

// refused returns the error that a worker answered with. An answer that says
// nothing of its verdict may have run.
func refused(status int, body []byte) error {
	var r refusal
	if json.Unmarshal(body, &r) != nil || r.Reason == "" {
		return lost(fmt.Errorf("status %d", status))
	}
	e := &verdict.Error{Verdict: r.Verdict, Reason: r.Reason}
	if r.Fenced {
		e.Err = worker.ErrFenced
	}
	return e
}
