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

// pollInterval is the time between two polls of [await]. With two requests per
// poll the rate stays below the limit of the administration interface, which is
// 20 requests per second.
const pollInterval = 150 * time.Millisecond

// await calls done every pollInterval until it returns true. If ctx ends before,
// await returns an error whose text is "waiting until" and the condition what.
func await(ctx context.Context, what string, done func() bool) error {
	ticker := time.NewTicker(pollInterval)
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

// callOperator sends a request to the administration interface of a process. It
// encodes body as JSON and decodes the answer into dst. It returns an error for
// a status other than 200.
func callOperator(ctx context.Context, p *process.Process, method, path string, body, dst any) error {
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

// submit submits a job. It retries until the job is accepted, because at first
// no owner may accept it, or until ctx is done.
func submit(ctx context.Context, p *process.Process, team string, s admin.Submission) error {
	var lastErr error
	err := await(ctx, "job "+string(s.ID)+" is accepted", func() bool {
		var j admin.Job
		lastErr = callOperator(ctx, p, "POST", "/v1/jobs?team="+team, s, &j)
		return lastErr == nil
	})
	if err != nil {
		return fmt.Errorf("%w; last answer: %w", err, lastErr)
	}
	return nil
}

// getJob returns the job with the given id, or the zero value if the request
// fails.
func getJob(ctx context.Context, p *process.Process, id string) admin.Job {
	var j admin.Job
	if callOperator(ctx, p, "GET", "/v1/jobs/"+id, nil, &j) != nil {
		return admin.Job{}
	}
	return j
}

// sendRequest sends one request with the body id to a service, which takes the
// given time in milliseconds. It returns an error if the status is not 200 or
// the answer is not the id.
func sendRequest(ctx context.Context, p *process.Process, service, id string, ms int) error {
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
