package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// maxResponseBytes bounds the size of a response.
const maxResponseBytes = 64 << 20

// client is a client of the administration interface of one entry (front-end)
// process.
type client struct {
	server    string
	token     string
	tokenFile string
	caFile    string
	timeout   time.Duration
}

// register adds the flags of the client to app.
func (c *client) register(app *kingpin.Application) {
	app.Flag("server", "Address of the administration interface of an entry (front-end) process.").Envar("MIMOSA_SERVER").Default("http://127.0.0.1:8081").StringVar(&c.server)
	app.Flag("token", "Bearer token. Prefer --token-file or the environment.").Envar("MIMOSA_TOKEN").StringVar(&c.token)
	app.Flag("token-file", "File with the bearer token.").Envar("MIMOSA_TOKEN_FILE").StringVar(&c.tokenFile)
	app.Flag("ca", "File with the trusted certificates for https.").Envar("MIMOSA_CA").StringVar(&c.caFile)
	app.Flag("timeout", "Timeout of one request.").Envar("MIMOSA_TIMEOUT").Default("20s").DurationVar(&c.timeout)
}

// problem is an error response of the server.
type problem struct {
	status        int
	Verdict       verdict.Verdict `json:"verdict"`
	Reason        string          `json:"reason"`
	Next          string          `json:"next"`
	RetryAfterMs  clock.Span      `json:"retryAfterMs"`
	Faults        service.Faults  `json:"faults"`
	NewerRevision unit.Revision   `json:"newerRevision"`
	Diff          string          `json:"diff"`
}

// Error returns the reason in the response.
func (p *problem) Error() string { return p.Reason }

// call sends body as JSON, if it is not nil, and decodes the response into dst.
// An error is a *problem or has a verdict.
func (c *client) call(ctx context.Context, method, path string, body, dst any) error {
	hc, token, err := c.newHTTPClient()
	if err != nil {
		return err
	}
	var payload []byte
	if body != nil {
		if payload, err = json.Marshal(body); err != nil {
			return verdict.Refuse("encode the request: %v", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.server, "/")+path, bytes.NewReader(payload))
	if err != nil {
		return verdict.Refuse("--server is %q: %v", c.server, err)
	}
	req.GetBody = nil // prevents net/http from repeating a request automatically
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := hc.Do(req)
	if err != nil {
		return c.sendError(err)
	}
	defer resp.Body.Close()
	return decodeResponse(resp, dst)
}

// sendError returns the error of a request without a response. After a failed
// dial the verdict is DidNotRun. After any other error the server may have
// received the request.
func (c *client) sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "can't connect to " + c.server + "; check --server", Err: err}
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "no answer from " + c.server + "; read the state before trying again", Err: err}
}

// decodeResponse decodes a 200 response into dst and returns any other response
// as a *problem.
func decodeResponse(resp *http.Response, dst any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "answer broke off; read the state before trying again", Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		p := &problem{status: resp.StatusCode}
		if json.Unmarshal(data, p) != nil || p.Reason == "" {
			p.Reason = "server answered " + resp.Status
		}
		return p
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "answer is not as expected; check that server and mimosactl have the same version", Err: err}
	}
	return nil
}

// newHTTPClient reads the token and the certificates, and returns an HTTP client
// and the token.
func (c *client) newHTTPClient() (*http.Client, string, error) {
	token := c.token
	if c.tokenFile != "" {
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, "", verdict.Refuse("--token-file: %v", err)
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, "", verdict.Refuse("no token; set --token-file or MIMOSA_TOKEN")
	}
	tr := &http.Transport{DisableKeepAlives: true}
	if c.caFile != "" {
		pem, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, "", verdict.Refuse("--ca: %v", err)
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, "", verdict.Refuse("--ca: %s has no certificate", c.caFile)
		}
		tr.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	return &http.Client{Transport: tr}, token, nil
}

// readText returns the content of a file. The name "-" stands for standard
// input, which is in.
func readText(name string, in io.Reader) (string, error) {
	if name == "-" {
		data, err := io.ReadAll(in)
		if err != nil {
			return "", fmt.Errorf("read standard input: %w", err)
		}
		return string(data), nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return "", err
	}
	return string(data), nil
}
