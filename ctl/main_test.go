package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// serveResponses starts a server with a fixed response for each method and path.
// The status is 404 for an unknown path. A body with newerRevision has the status
// 409, with faults 422, with mayHaveRun 502, and any other body 200.
func serveResponses(t *testing.T, byPath map[string]string) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := byPath[r.Method+" "+r.URL.Path]
		status := http.StatusOK
		switch {
		case !ok:
			status, body = http.StatusNotFound, `{"verdict":"didNotRun","reason":"not found","next":"check the name"}`
		case strings.Contains(body, "newerRevision"):
			status = http.StatusConflict
		case strings.Contains(body, "faults"):
			status = http.StatusUnprocessableEntity
		case strings.Contains(body, "mayHaveRun"):
			status = http.StatusBadGateway
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(srv.Close)
	return srv
}

// Guards against a wrong exit code, and against output or error texts without
// the part that a script or a user needs.
func TestExecute(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.yaml")
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	is.New(t).NoErr(os.WriteFile(good, []byte("version: 1\n"), 0o600))
	is.New(t).NoErr(os.WriteFile(bad, []byte("version: 1\nservices: [{name: X}]\n"), 0o600))
	job := `{"id":"j1","team":"marts","kind":"report","state":"finished","tasks":[{"id":"j1/0","state":"finished","progress":1}]}`
	tests := map[string]struct {
		args      []string
		responses map[string]string
		code      exitCode
		out       string // part of standard output
		stderr    string // part of standard error
	}{
		"check":             {args: []string{"config", "check", good}, out: "ok: 0 services"},
		"check with faults": {args: []string{"config", "check", bad}, code: exitFaults, stderr: "2:19"},
		"no such file":      {args: []string{"config", "check", good + "x"}, code: exitUsage, stderr: "no such file"},
		"unknown command":   {args: []string{"confg"}, code: exitUsage, stderr: "confg"},
		"missing base":      {args: []string{"config", "apply", good}, code: exitUsage, stderr: "--base"},
		"apply": {
			args: []string{"config", "apply", "--base", "3", good}, responses: map[string]string{"PUT /v1/config": `{"revision":4}`}, out: "revision 4",
		},
		"apply conflicts": {
			args:      []string{"config", "apply", "--base", "3", good},
			responses: map[string]string{"PUT /v1/config": `{"verdict":"didNotRun","reason":"changed","newerRevision":4,"diff":"-a\n+b\n","next":"merge"}`},
			code:      exitConflict, stderr: "revision 4 is in force",
		},
		"outcome unknown": {
			args:      []string{"config", "apply", "--base", "3", good},
			responses: map[string]string{"PUT /v1/config": `{"verdict":"mayHaveRun","reason":"no answer of the journal"}`},
			code:      exitUnknown, stderr: "mayHaveRun",
		},
		"diff": {args: []string{"config", "diff", good}, responses: map[string]string{"GET /v1/config": `{"revision":3,"text":"version: 2\n"}`}, out: "+version: 1"},
		"job":  {args: []string{"job", "show", "j1"}, responses: map[string]string{"GET /v1/jobs/j1": job}, out: "j1/0"},
		"job as json": {
			args: []string{"-o", "json", "job", "show", "j1"}, responses: map[string]string{"GET /v1/jobs/j1": job}, out: `"state": "finished"`,
		},
		"watch ended job": {args: []string{"job", "watch", "j1"}, responses: map[string]string{"GET /v1/jobs/j1": job}, out: "1 of 1 tasks ended"},
		"unknown job":     {args: []string{"job", "show", "j2"}, code: exitFailed, stderr: "next: check the name"},
		"status":          {args: []string{"status"}, responses: map[string]string{"GET /v1/status": `{"revision":7}`}, out: "7"},
		"hosts":           {args: []string{"host", "list"}, responses: map[string]string{"GET /v1/hosts": `[{"address":"127.0.0.1:1"}]`}, out: "127.0.0.1:1"},
		"completion":      {args: []string{"--completion-script-bash"}}, // the flag library prints the script to os.Stdout
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := serveResponses(t, tc.responses)
			var out, stderr bytes.Buffer
			args := append([]string{"--server", srv.URL, "--token", "t"}, tc.args...)
			code := execute(context.Background(), args, strings.NewReader(""), &out, &stderr)
			t.Log(out.String(), stderr.String())
			is.Equal(code, tc.code)
			is.True(strings.Contains(out.String(), tc.out))
			is.True(strings.Contains(stderr.String(), tc.stderr))
		})
	}
}

// Guards against a refused connection that is reported as an unknown outcome.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	srv := serveResponses(t, nil)
	srv.Close()
	var out, stderr bytes.Buffer
	code := execute(context.Background(), []string{"--server", srv.URL, "--token", "t", "status"}, nil, &out, &stderr)
	is.Equal(code, exitFailed)
	is.True(strings.Contains(stderr.String(), "check --server"))
}
