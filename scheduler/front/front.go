// Package front serves the HTTP requests of callers: they submit and cancel jobs,
// and read job states and counts of pending jobs. It holds no job state; the
// owner of a job's shard handles each request.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/listener"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/control"
	"mimosadock/scheduler/record"
)

// Limits of a request.
const (
	defaultTimeout  = 2 * time.Second       // if the caller sets no timeout
	maxTimeout      = 20 * time.Second      // upper bound of the caller's timeout
	responseReserve = 60 * time.Millisecond // part of the caller's timeout reserved for sending the response
	defaultMaxBody  = 256 << 10             // bytes, if the configuration sets no limit
	maxHeaderBytes  = 16 << 10              // bytes
	maxReason       = 200                   // bytes of a log line
	headerTimeout   = 3 * time.Second
	countTTL        = 700 * clock.Millisecond // a count of pending jobs may be at most 2 s old
)

// Format decodes the callers' requests and encodes the response bodies.
type Format interface {
	// DecodeJob decodes the body of a submission.
	DecodeJob(body []byte) (*dispatch.Spec, error)
	// EncodeState encodes the state of a job.
	EncodeState(s dispatch.JobState) []byte
	// EncodePending encodes the number of pending jobs of a queue.
	EncodePending(n int) []byte
	// Timeout returns the caller's timeout, or 0 if the headers contain none.
	Timeout(h http.Header) clock.Span
}

// Router sends requests to the owners of shards.
type Router interface {
	// Call returns the reply of the owner of the request's shard.
	Call(ctx context.Context, request *control.Request) control.Reply
	// Reachable reports whether requests reach the owners.
	Reachable() bool
}

// Front handles callers' requests. Set the exported fields before use.
type Front struct {
	Router Router
	Format Format
	Config func() *dispatch.Config
	Layout func() dispatch.Layout
	// StoreLimits bound the jobs that can be stored.
	StoreLimits record.Limits
	Clock       clock.Clock
	EventLog    control.EventLog
	Counters    *Counters

	draining atomic.Bool
	inFlight atomic.Int64
	counts   pendingCounts
}

// validID matches the ids of jobs.
var validID = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Drain makes the process not ready and closes each connection after its next
// response.
func (f *Front) Drain() { f.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (f *Front) InFlight() int64 { return f.inFlight.Load() }

// Ready reports whether the balancer should send new connections here.
func (f *Front) Ready() bool {
	return !f.draining.Load() && f.Config() != nil && f.Router.Reachable()
}

// ServeReady handles the balancer's readiness check. It responds with the status
// 200 if the process is ready, and 503 otherwise.
func (f *Front) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ServeHTTP handles a caller's request, counts it and logs it as a decision. It
// does not log a successful GET.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	startedAt := f.Clock.Now()
	if f.draining.Load() || f.Config() != nil && !f.Router.Reachable() {
		w.Header().Set("Connection", "close") // the next connection goes to a ready process
	}
	resp := f.respond(r)
	if resp.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((resp.retryAfter+clock.Second-1)/clock.Second)))
	}
	if len(resp.body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body) // a disconnected caller needs no response
	took := f.Clock.Now().Sub(startedAt)
	method := knownMethod(r.Method)
	f.Counters.observe(method, resp.status, took)
	if resp.status != http.StatusOK || method != http.MethodGet {
		f.EventLog.LogDecision("request", "method", method, "job", resp.job, "status", resp.status, "tookMs", int64(took), "reason", resp.reason)
	}
}

// knownMethod returns the method of a request, or "other" for one that is not
// served: its text is up to the caller.
func knownMethod(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// response is the response to a caller and the fields of its log line.
type response struct {
	status     int
	body       []byte
	retryAfter clock.Span
	job        unit.Job
	reason     string
}

// respond handles a request and returns the response.
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
	if !layout.HasShards() {
		return response{status: http.StatusServiceUnavailable, retryAfter: clock.Second, reason: "no layout yet"}
	}
	id := r.URL.Path[len(q.Prefix):]
	if id == "" && r.Method == http.MethodGet {
		return f.countPending(r.Context(), q.Name)
	}
	if !validID.MatchString(id) {
		return response{status: http.StatusBadRequest, body: []byte(`{"error":"id must be 16 hexadecimal digits"}`), reason: "id is not 16 hexadecimal digits"}
	}
	request := &control.Request{Job: unit.Job(id), Shard: layout.ShardOf(id)}
	switch r.Method {
	case http.MethodPost:
		request.Kind = control.KindSubmit
		spec, rejection := f.readSubmission(r, cfg, q, id)
		if rejection != nil {
			return *rejection
		}
		request.Spec = spec
	case http.MethodGet:
		request.Kind = control.KindState
	case http.MethodDelete:
		request.Kind = control.KindCancel
	default:
		return response{status: http.StatusMethodNotAllowed, reason: "method is not GET, POST or DELETE"}
	}
	ctx, cancel := context.WithTimeout(r.Context(), f.requestTimeout(r.Header))
	defer cancel()
	return f.responseTo(request, f.Router.Call(ctx, request))
}

// requestTimeout returns the timeout of a request: the caller's timeout less a
// reserve for the response, but at least half of it and at most maxTimeout. If
// the caller sets none, it is defaultTimeout.
func (f *Front) requestTimeout(h http.Header) time.Duration {
	d := f.Format.Timeout(h).Duration()
	if d <= 0 {
		return defaultTimeout
	}
	return min(max(d-responseReserve, d/2), maxTimeout)
}

// readSubmission reads and decodes the body of a submission. If the body is
// invalid, it returns the response to send instead.
func (f *Front) readSubmission(r *http.Request, cfg *dispatch.Config, q *dispatch.Queue, id string) (*dispatch.Spec, *response) {
	limit := cfg.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	var spec *dispatch.Spec
	size := 0
	var invalid error
	err := listener.ReadBody(r, limit, func(body []byte) error {
		size = len(body)
		spec, invalid = f.Format.DecodeJob(body)
		return invalid
	})
	if err == nil {
		err = listener.Keep(r, 2*spec.Bytes()) // the job and its encoding for the owner
	}
	if err != nil {
		refused := refusedBody(err, invalid != nil)
		refused.job = unit.Job(id)
		return nil, &refused
	}
	if err := f.StoreLimits.CheckSize(spec, size); err != nil {
		return nil, &response{status: http.StatusRequestEntityTooLarge, job: unit.Job(id), reason: err.Error()}
	}
	spec.ID, spec.Queue = unit.Job(id), *q
	return spec, nil
}

// refusedBody returns the response for a body that is invalid or was not read. In
// each case the submission has not run and never will.
func refusedBody(err error, isInvalid bool) response {
	switch {
	case isInvalid:
		reason := err.Error() // may quote the body
		return response{status: http.StatusBadRequest, reason: reason[:min(len(reason), maxReason)]}
	case errors.Is(err, listener.ErrTooLarge):
		return response{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.Is(err, listener.ErrTooSlow):
		return response{status: http.StatusRequestTimeout, reason: err.Error()}
	case errors.Is(err, listener.ErrNoRoom):
		return response{status: http.StatusServiceUnavailable, retryAfter: clock.Second, reason: err.Error()}
	}
	return response{status: http.StatusBadRequest, reason: "body can't be read"}
}

// responseTo returns the response for the reply of an owner.
func (f *Front) responseTo(request *control.Request, r control.Reply) response {
	resp := response{status: http.StatusOK, job: request.Job, reason: r.Reason}
	switch r.Status {
	case control.StatusAccepted:
		if request.Kind == control.KindState {
			resp.body = f.Format.EncodeState(r.State)
		}
	case control.StatusNotFound:
		resp.status = http.StatusGone
	case control.StatusRefused, control.StatusNotOwner:
		resp.status, resp.retryAfter = http.StatusServiceUnavailable, r.RetryAfter
	case control.StatusUndetermined:
		resp.status = http.StatusGatewayTimeout
		if request.Kind != control.KindSubmit {
			resp.status, resp.retryAfter = http.StatusServiceUnavailable, clock.Second
		}
	}
	return resp
}

// countPending returns the response with the number of jobs of a queue that have
// not started. It sums the counts of all shards or uses a cached sum.
func (f *Front) countPending(ctx context.Context, q unit.Queue) response {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	now := f.Clock.Now()
	if n, ok := f.counts.get(q, now); ok {
		return response{status: http.StatusOK, body: f.Format.EncodePending(n)}
	}
	n := 0
	for s := range f.Layout().Shards {
		r := f.Router.Call(ctx, &control.Request{Kind: control.KindPending, Shard: unit.Shard(s), Queue: q})
		if r.Status != control.StatusAccepted {
			return response{status: http.StatusServiceUnavailable, retryAfter: clock.Second, reason: r.Reason}
		}
		n += r.Count
	}
	f.counts.put(q, now, n)
	return response{status: http.StatusOK, body: f.Format.EncodePending(n)}
}

// Server returns an HTTP server for h with bounds on the size of the request
// header and the time to read it.
func Server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout}
}

// Serve serves connections of l until s is closed or shut down, which is not an
// error.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
