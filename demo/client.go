package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"mimosadock/entry/admin"
	"mimosadock/entry/process"
)

// pollEvery is the time between two looks at something that is awaited. Two
// requests a look stay below the administration interface's limit of 20 a
// second.
const pollEvery = 150 * time.Millisecond

// await looks until done is true or ctx ends.
func await(ctx context.Context, what string, done func() bool) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("waiting until %s: %w", what, ctx.Err())
		}
	}
	return nil
}

// call uses the administration interface of a process.
func call(ctx context.Context, p *process.Process, method, path string, body, dst any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.OperatorAddress()+path, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, path, resp.StatusCode, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, dst)
}

// submit submits a job, again while there is no owner that takes it.
func submit(ctx context.Context, p *process.Process, team string, s admin.Submission) error {
	var last error
	err := await(ctx, "job "+string(s.ID)+" is accepted", func() bool {
		var j admin.Job
		last = call(ctx, p, "POST", "/v1/jobs?team="+team, s, &j)
		return last == nil
	})
	if err != nil {
		return fmt.Errorf("%w; last answer: %w", err, last)
	}
	return nil
}

// show returns a job, or a zero one if it can't be had.
func show(ctx context.Context, p *process.Process, id string) admin.Job {
	var j admin.Job
	if call(ctx, p, "GET", "/v1/jobs/"+id, nil, &j) != nil {
		return admin.Job{}
	}
	return j
}

// send sends one request to a service and checks that the answer is its own.
func send(ctx context.Context, p *process.Process, service, id string, ms int) error {
	url := fmt.Sprintf("http://%s/s/%s/?ms=%d", p.CallerAddress(), service, ms)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(id))
	if err != nil {
		return err
	}
	req.Header.Set("Mimosa-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(body) != id {
		return fmt.Errorf("%s: status %d: %s", id, resp.StatusCode, bytes.TrimSpace(body))
	}
	return nil
}
