package front

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/listener"
	"mimosadock/scheduler/control"
	"mimosadock/scheduler/record"
)

// stub is a router that accepts everything, a format of jobs and an event log that
// keeps the last line.
type stub struct{ reason string }

func (*stub) Call(context.Context, *control.Request) control.Reply {
	return control.Reply{Status: control.StatusAccepted}
}
func (*stub) Reachable() bool                       { return true }
func (*stub) EncodeState(dispatch.JobState) []byte  { return nil }
func (*stub) EncodePending(int) []byte              { return nil }
func (*stub) Timeout(http.Header) clock.Span        { return 0 }
func (*stub) LogChange(string, ...any)              {}
func (s *stub) LogDecision(_ string, fields ...any) { s.reason = fields[len(fields)-1].(string) }
func (*stub) DecodeJob(body []byte) (*dispatch.Spec, error) {
	if string(body) == "job" {
		return new(dispatch.Spec), nil
	}
	return nil, errors.New("invalid: " + string(body))
}

// TestCallersText guards against counters and log lines that grow with what callers
// send.
func TestCallersText(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	for name, c := range map[string]struct {
		method, body string
		status       int
		counter      string
	}{
		"job":            {http.MethodPost, "job", http.StatusOK, "POST 200"},
		"invalid body":   {http.MethodPost, long, http.StatusBadRequest, "POST 400"},
		"too large":      {http.MethodPost, strings.Repeat(long, 30), http.StatusRequestEntityTooLarge, "POST 413"},
		"unknown method": {long, "", http.StatusMethodNotAllowed, "other 405"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := new(stub)
			f := &Front{
				Router: s, Format: s, Clock: new(clock.Manual), EventLog: s, Counters: new(Counters), StoreLimits: record.Limits{},
				Config: func() *dispatch.Config {
					return &dispatch.Config{Queues: []dispatch.Queue{{Host: "example.com", Prefix: "/q/"}}}
				},
				Layout: func() dispatch.Layout { return dispatch.Layout{Shards: 1} },
			}
			w := httptest.NewRecorder()
			f.ServeHTTP(w, httptest.NewRequest(c.method, "/q/00000000000000aa", strings.NewReader(c.body)))
			is.Equal(w.Code, c.status)
			is.True(len(s.reason) <= maxReason)
			n := 0
			f.Counters.requests.Do(func(kv expvar.KeyValue) {
				n++
				is.Equal(kv.Key, c.counter)
			})
			is.Equal(n, 1)
		})
	}
}

// TestRefusedBody guards against a refusal that says less or more than that a
// submission has not run.
func TestRefusedBody(t *testing.T) {
	for name, c := range map[string]struct {
		err        error
		isInvalid  bool
		status     int
		retryAfter clock.Span
	}{
		"invalid":   {err: errors.New("invalid"), isInvalid: true, status: http.StatusBadRequest},
		"broken":    {err: errors.New("reset"), status: http.StatusBadRequest},
		"too large": {err: listener.ErrTooLarge, status: http.StatusRequestEntityTooLarge},
		"too slow":  {err: listener.ErrTooSlow, status: http.StatusRequestTimeout},
		"no room":   {err: listener.ErrNoRoom, status: http.StatusServiceUnavailable, retryAfter: clock.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := refusedBody(c.err, c.isInvalid)
			is.Equal(r.status, c.status)
			is.Equal(r.retryAfter, c.retryAfter)
		})
	}
}
