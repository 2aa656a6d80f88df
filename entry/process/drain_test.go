package process

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// get sends a request to the caller address and returns the parts of the
// response that the tests check.
func (s *testProcess) get(path string) (status int, verdict, body string, err error) {
	resp, err := http.Get("http://" + s.CallerAddress() + path)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Mimosa-Verdict"), string(b), err
}

// startLongRequest starts a request that runs until release is called. The
// channel receives its status, or 0 if the request was aborted.
func (s *testProcess) startLongRequest() (release func(), ended <-chan int) {
	release = s.upstreams[0].BlockAnswers()
	statuses := make(chan int, 1)
	s.group.Go("watch", func(context.Context) error {
		status, _, _, _ := s.get("/s/watch/")
		statuses <- status
		return nil
	})
	for s.upstreams[0].InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	return release, statuses
}

// awaitStatus polls path until the response has the status, and returns its
// verdict.
func (s *testProcess) awaitStatus(t *testing.T, path string, status int) (verdict string) {
	for {
		got, verdict, _, err := s.get(path)
		if err != nil {
			t.Fatal(err)
		}
		if got == status {
			return verdict
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a shutdown that refuses requests before the load balancer has
// noticed that the process is not ready.
func TestStopKeepsServingForTheBalancer(t *testing.T) {
	is := is.New(t)
	s := startProcess(t, 1, time.Hour)
	s.awaitStatus(t, "/ready", http.StatusOK)
	s.stop()
	s.awaitStatus(t, "/ready", http.StatusServiceUnavailable)
	status, _, _, err := s.get("/s/lookup/")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	s.kill()
	is.NoErr(s.group.Wait())
}

// Guards against a shutdown that aborts a long request, accepts new requests while
// it waits for that request, or never ends.
func TestStopEndsRequestsInFlight(t *testing.T) {
	tests := map[string]struct {
		end    func(s *testProcess, release func())
		status int // of the long request
	}{
		"request ends":       {func(_ *testProcess, release func()) { release() }, http.StatusOK},
		"second stop signal": {func(s *testProcess, _ func()) { s.kill() }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startProcess(t, 1, 0)
			release, ended := s.startLongRequest()
			s.stop()
			is.Equal(s.awaitStatus(t, "/s/lookup/", http.StatusServiceUnavailable), "didNotRun")
			is.Equal(len(ended), 0)
			tc.end(s, release)
			is.Equal(<-ended, tc.status)
			is.NoErr(s.group.Wait())
			_, _, _, err := s.get("/ready")
			is.True(err != nil)
		})
	}
}

// Guards against a drain that takes longer than DrainFor because a request does
// not end.
func TestDrainTimeEnds(t *testing.T) {
	is := is.New(t)
	s := startProcess(t, 1, 0)
	s.settings.DrainFor = 50 * time.Millisecond
	_, ended := s.startLongRequest()
	s.stop()
	is.Equal(<-ended, 0)
	is.NoErr(s.group.Wait())
}

// Guards against a state dump with a missing part, with field names that are not
// camelCase, or without authentication.
func TestState(t *testing.T) {
	is := is.New(t)
	s := startProcess(t, 2, 0)
	_, _, _, err := s.get("/s/lookup/")
	is.NoErr(err)
	is.Equal(getState(t, s.OperatorAddress(), "").StatusCode, http.StatusUnauthorized)
	resp := getState(t, s.OperatorAddress(), "secret")
	var state map[string]any
	is.NoErr(json.NewDecoder(resp.Body).Decode(&state))
	is.Equal(len(state["control"].(map[string]any)["upstreams"].([]any)), 2)
	is.Equal(len(state["connections"].([]any)), 1)
	is.True(state["counters"].(map[string]any)["front.decisions"] != nil)
	is.Equal(len(state["front"].(map[string]any)["queues"].([]any)), 1)
	checkCamelCase(t, state)
}

// getState requests the state dump with a bearer token.
func getState(t *testing.T, address, token string) *http.Response {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// checkCamelCase checks the names of all fields inside v.
func checkCamelCase(t *testing.T, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			if name == "" || strings.ToLower(name[:1]) != name[:1] || strings.ContainsAny(name, "_-") {
				t.Errorf("name %q is not camelCase", name)
			}
			checkCamelCase(t, inner)
		}
	case []any:
		for _, inner := range v {
			checkCamelCase(t, inner)
		}
	}
}
