// Package front serves callers: submissions, states, cancellations and counts
// of jobs. It holds no state of its own; the owner of a job's shard answers.
package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/control"
)

// Limits of a request.
const (
	defaultTimeout  = 2 * time.Second       // where the caller names none
	maxTimeout      = 20 * time.Second      // whatever the caller names
	responseReserve = 60 * time.Millisecond // of the caller's time, for the way back
	defaultMaxBody  = 256 << 10             // bytes, until a configuration is in force
	maxHeaderBytes  = 16 << 10              // bytes
	headerTimeout   = 3 * time.Second
	countTTL        = 700 * clock.Millisecond // a count of waiting jobs may be 2 s old
)

// Format decodes and encodes the callers' bodies.
type Format interface {
	DecodeJob(body []byte) (*dispatch.Spec, error)
	EncodeState(s dispatch.JobState) []byte
	EncodePending(n int) []byte
	// Wait returns how long the caller waits, or 0 if it does not say.
	Wait(h http.Header) clock.Span
}

// Router has calls answered by the owners of shards.
type Router interface {
	Call(ctx context.Context, a *control.Request) control.Reply
	Reachable() bool
}

// Front is the handler of callers' requests. Set the fields before use.
type Front struct {
	Router   Router
	Format   Format
	Config   func() *dispatch.Config
	Layout   func() dispatch.Layout
	Clock    clock.Clock
	Journal  control.Journal
	Counters *Counters

	draining atomic.Bool
	inFlight atomic.Int64
	counts   pendingCounts
}

var validID = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Drain makes the process not ready and closes connections after their next
// answer.
func (f *Front) Drain() { f.draining.Store(true) }

// InFlight returns the number of requests that are being answered.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// Ready reports whether the balancer should send new connections here.
func (f *Front) Ready() bool {
	return !f.draining.Load() && f.Config() != nil && f.Router.Reachable()
}

// ServeReady answers the balancer's question for readiness.
func (f *Front) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP answers a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	began := f.Clock.Now()
	if f.draining.Load() || f.Config() != nil && !f.Router.Reachable() {
		w.Header().Set("Connection", "close") // the next request finds a ready process
	}
	a := f.respond(r)
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.retryAfter+clock.Second-1)/clock.Second)))
	}
	if len(a.body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // a caller that has left needs no answer
	took := f.Clock.Now().Sub(began)
	f.Counters.observe(r.Method, a.status, took)
	if a.status != http.StatusOK || r.Method != http.MethodGet {
		f.Journal.Decision("request", "method", r.Method, "job", a.job, "status", a.status, "tookMs", int64(took), "reason", a.reason)
	}
}

// response is what a caller is told.
type response struct {
	status     int
	body       []byte
	retryAfter clock.Span
	job        unit.Job
	reason     string
}

func (f *Front) respond(r *http.Request) response {
	cfg, layout := f.Config(), f.Layout()
	if cfg == nil {
		return response{status: http.StatusServiceUnavailable, retryAfter: clock.Second, reason: "no configuration yet"}
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	q := cfg.Find(host, r.URL.Path)
	if q == nil {
		return response{status: http.StatusNotFound, reason: "no such queue"}
	}
	if !layout.Agreed() {
		return response{status: http.StatusServiceUnavailable, retryAfter: clock.Second, reason: "no layout yet"}
	}
	id := r.URL.Path[len(q.Prefix):]
	if id == "" && r.Method == http.MethodGet {
		return f.countPending(r.Context(), q.Name)
	}
	if !validID.MatchString(id) {
		return response{status: http.StatusBadRequest, body: []byte(`{"error":"id must be 16 hexadecimal digits"}`), reason: "bad id"}
	}
	ask := &control.Request{Job: unit.Job(id), Shard: layout.ShardOf(id)}
	switch r.Method {
	case http.MethodPost:
		ask.Kind = control.Submit
		spec, bad := f.readSubmission(r, cfg, q, id)
		if bad != nil {
			return *bad
		}
		ask.Spec = spec
	case http.MethodGet:
		ask.Kind = control.State
	case http.MethodDelete:
		ask.Kind = control.Cancel
	default:
		return response{status: http.StatusMethodNotAllowed, reason: "method"}
	}
	ctx, cancel := context.WithTimeout(r.Context(), f.requestTimeout(r.Header))
	defer cancel()
	return f.responseTo(ask, f.Router.Call(ctx, ask))
}

func (f *Front) requestTimeout(h http.Header) time.Duration {
	d := f.Format.Wait(h).Duration()
	if d <= 0 {
		return defaultTimeout
	}
	return min(max(d-responseReserve, d/2), maxTimeout)
}

// readSubmission reads a submission.
func (f *Front) readSubmission(r *http.Request, cfg *dispatch.Config, q *dispatch.Queue, id string) (*dispatch.Spec, *response) {
	limit := int64(cfg.MaxBody)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, &response{status: http.StatusBadRequest, job: unit.Job(id), reason: "body can't be read"}
	}
	if int64(len(body)) > limit {
		return nil, &response{status: http.StatusRequestEntityTooLarge, job: unit.Job(id), reason: "body too large"}
	}
	spec, err := f.Format.DecodeJob(body)
	if err != nil {
		return nil, &response{status: http.StatusBadRequest, job: unit.Job(id), reason: err.Error()}
	}
	spec.ID, spec.Queue = unit.Job(id), *q
	return spec, nil
}

func (f *Front) responseTo(ask *control.Request, r control.Reply) response {
	a := response{status: http.StatusOK, job: ask.Job, reason: r.Reason}
	switch r.Status {
	case control.Accepted:
		if ask.Kind == control.State {
			a.body = f.Format.EncodeState(r.State)
		}
	case control.Unknown:
		a.status = http.StatusGone
	case control.Refused, control.NotOwner:
		a.status, a.retryAfter = http.StatusServiceUnavailable, r.RetryAfter
	case control.Unsettled:
		a.status = http.StatusGatewayTimeout
		if ask.Kind != control.Submit {
			a.status, a.retryAfter = http.StatusServiceUnavailable, clock.Second
		}
	}
	return a
}

// countPending answers how many jobs of a queue have not begun.
func (f *Front) countPending(ctx context.Context, q unit.Queue) response {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	now := f.Clock.Now()
	if n, ok := f.counts.get(q, now); ok {
		return response{status: http.StatusOK, body: f.Format.EncodePending(n)}
	}
	n := 0
	for s := range f.Layout().Shards {
		r := f.Router.Call(ctx, &control.Request{Kind: control.Pending, Shard: unit.Shard(s), Queue: q})
		if r.Status != control.Accepted {
			return response{status: http.StatusServiceUnavailable, retryAfter: clock.Second, reason: r.Reason}
		}
		n += r.Count
	}
	f.counts.put(q, now, n)
	return response{status: http.StatusOK, body: f.Format.EncodePending(n)}
}

// Server returns a server of h with limits on what callers may send.
func Server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout}
}

// Serve serves l until the server is closed.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
