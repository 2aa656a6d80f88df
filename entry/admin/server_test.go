package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

const text = `version: 1
capacity: {cpu: 10, memory: 10}
teams:
  - {name: marts, quota: {cpu: 1, memory: 1}}
  - {name: farms, quota: {cpu: 1, memory: 1}}
upstreamSets:
  - {name: weighbook, slots: 8}
services:
  - {name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 100}
`

func hashOf(token string) service.TokenHash {
	sum := sha256.Sum256([]byte(token))
	return service.TokenHash(hex.EncodeToString(sum[:]))
}

// fakeBackend is a [Backend] with a configuration of revision 3 and one job of
// the team marts.
type fakeBackend struct {
	text    *service.Text
	authors []string
}

func (f *fakeBackend) Status(context.Context) (Status, error) { return Status{Revision: 3}, nil }
func (f *fakeBackend) Text() *service.Text                    { return f.text }
func (f *fakeBackend) Config(context.Context) (Config, error) {
	return Config{Revision: 3, Text: text}, nil
}

func (f *fakeBackend) Apply(_ context.Context, author string, c Change) (unit.Revision, error) {
	if c.BaseRevision != 3 {
		return 0, &Conflict{Newer: 3, Diff: "-a\n+b\n"}
	}
	f.authors = append(f.authors, author)
	return 4, nil
}

func (f *fakeBackend) History(context.Context, int) ([]Config, error) { return nil, nil }
func (f *fakeBackend) Hosts(context.Context) ([]Host, error)          { return nil, nil }

func (f *fakeBackend) Drain(context.Context, string, string) error {
	return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "journal is down", RetryAfter: clock.Second, Err: ErrUnavailable}
}

func (f *fakeBackend) Services(context.Context) ([]Service, error) {
	return []Service{{Service: f.text.Services[0]}}, nil
}

func (f *fakeBackend) Usage(context.Context) ([]Usage, error) {
	return []Usage{{Team: "marts"}, {Team: "farms"}}, nil
}

func (f *fakeBackend) Submit(_ context.Context, team unit.Team, s Submission) (Job, error) {
	return Job{ID: s.ID, Team: team}, nil
}

func (f *fakeBackend) Jobs(context.Context, unit.Team) ([]Job, error) {
	return []Job{{ID: "j1", Team: "marts"}}, nil
}

func (f *fakeBackend) Job(_ context.Context, id unit.Job) (Job, error) {
	if id != "j1" {
		return Job{}, ErrNotFound
	}
	return Job{ID: "j1", Team: "marts"}, nil
}

func (f *fakeBackend) Cancel(context.Context, string, unit.Job) (Job, error) {
	return Job{ID: "j1", Team: "marts", State: "cancelled"}, nil
}
func (f *fakeBackend) Dump(context.Context) (any, error) { return map[string]int{}, nil }

func newServer(t *testing.T) (*Server, *fakeBackend) {
	t.Helper()
	parsed, err := service.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	parsed.Operators = []service.TokenHash{hashOf("op")}
	parsed.Teams[0].Tokens = []service.TokenHash{hashOf("m")}
	parsed.Teams[1].Tokens = []service.TokenHash{hashOf("f")}
	f := &fakeBackend{text: parsed}
	return &Server{Backend: f, Clock: new(clock.Manual)}, f
}

// Guards against a team that reads or changes resources of another team, and
// against error responses without a status, a verdict or a recommended action.
func TestAccess(t *testing.T) {
	change := func(base string) string {
		body, _ := json.Marshal(text)
		return `{"baseRevision":` + base + `,"text":` + string(body) + `}`
	}
	tests := map[string]struct {
		token, method, path, body string
		status                    int
		want                      string // part of the response
	}{
		"no token":                     {"", "GET", "/v1/status", "", 401, "didNotRun"},
		"wrong token":                  {"x", "GET", "/v1/status", "", 401, "next"},
		"team status":                  {"m", "GET", "/v1/status", "", 200, `"revision":3`},
		"team reads config":            {"m", "GET", "/v1/config", "", 403, "operator"},
		"team requests the state dump": {"m", "GET", "/v1/state", "", 403, "operator"},
		"operator reads config":        {"op", "GET", "/v1/config", "", 200, `"revision":3`},
		"apply":                        {"op", "PUT", "/v1/config", change("3"), 200, `"revision":4`},
		"apply on a stale base":        {"op", "PUT", "/v1/config", change("2"), 409, `"newerRevision":3`},
		"apply with faults":            {"op", "PUT", "/v1/config", `{"baseRevision":3,"text":"version: 2"}`, 422, `"line":1`},
		"unknown field":                {"op", "PUT", "/v1/config", `{"base":3}`, 400, "unknown field"},
		"second value":                 {"op", "PUT", "/v1/config", change("3") + "{}", 400, "after"},
		"too large":                    {"op", "PUT", "/v1/config", strings.Repeat(" ", maxBodyBytes+1), 413, "larger"},
		"check without token":          {"", "POST", "/v1/config/check", change("0"), 401, "token"},
		"check":                        {"f", "POST", "/v1/config/check", change("0"), 200, `"services":1`},
		"own job":                      {"m", "GET", "/v1/jobs/j1", "", 200, "j1"},
		"job of another team":          {"f", "GET", "/v1/jobs/j1", "", 404, "not found"},
		"cancel of another team":       {"f", "POST", "/v1/jobs/j1/cancel", "", 404, "not found"},
		"cancel":                       {"m", "POST", "/v1/jobs/j1/cancel", "", 200, "cancelled"},
		"job list without the jobs of other teams": {"f", "GET", "/v1/jobs", "", 200, "[]"},
		"service hidden":         {"f", "GET", "/v1/services/lookup", "", 404, "not found"},
		"service":                {"m", "GET", "/v1/services/lookup", "", 200, "lookup"},
		"usage of another team":  {"f", "GET", "/v1/teams/marts", "", 404, "not found"},
		"teams":                  {"f", "GET", "/v1/teams", "", 200, `[{"team":"farms"`},
		"submit":                 {"m", "POST", "/v1/jobs", `{"id":"a","kind":"k"}`, 200, `"team":"marts"`},
		"operator names no team": {"op", "POST", "/v1/jobs", `{"id":"a","kind":"k"}`, 400, "team"},
		"bad limit":              {"op", "GET", "/v1/config/history?limit=0", "", 400, "limit"},
		"journal down":           {"op", "POST", "/v1/hosts/drain", `{"address":"a"}`, 503, `"retryAfterMs":1000`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newServer(t)
			r := httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body))
			if tc.token != "" {
				r.Header.Set("Authorization", "Bearer "+tc.token)
			}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, r)
			t.Log(w.Body.String())
			is.Equal(w.Code, tc.status)
			is.True(strings.Contains(w.Body.String(), tc.want))
			if tc.status >= http.StatusBadRequest {
				is.True(w.Header().Get("Mimosa-Verdict") != "")
				is.True(strings.Contains(w.Body.String(), `"next"`))
			}
		})
	}
}

// Guards against unlimited requests with one valid token, and against unlimited
// attempts to guess a token.
func TestRateLimit(t *testing.T) {
	for name, token := range map[string]string{"valid token": "op", "wrong token": "guess"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newServer(t)
			last := 0
			for range rateBurst + 1 {
				r := httptest.NewRequest("GET", "/v1/status", nil)
				r.Header.Set("Authorization", "Bearer "+token)
				w := httptest.NewRecorder()
				s.Handler().ServeHTTP(w, r)
				last = w.Code
			}
			is.Equal(last, http.StatusTooManyRequests)
		})
	}
}

// Guards against a bearer token in the recorded author of a change.
func TestAuthorNamesNoToken(t *testing.T) {
	is := is.New(t)
	s, f := newServer(t)
	body, _ := json.Marshal(Change{BaseRevision: 3, Text: text})
	r := httptest.NewRequest("PUT", "/v1/config", strings.NewReader(string(body)))
	r.Header.Set("Authorization", "Bearer op")
	s.Handler().ServeHTTP(httptest.NewRecorder(), r)
	is.Equal(f.authors, []string{"operator/" + string(hashOf("op"))[:authorHashDigits]})
}
