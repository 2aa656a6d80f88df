package front

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mimosadock/entry/control"
	"mimosadock/entry/pool"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/limit"
	"mimosadock/schedule/retry"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Headers of the protocols for callers and upstreams.
const (
	DeadlineHeader   = "Mimosa-Deadline-Ms"
	RequestHeader    = "Mimosa-Request-Id"
	ClassHeader      = "Mimosa-Class"
	VerdictHeader    = "Mimosa-Verdict"
	RetryAfterHeader = "Retry-After-Ms"
	LoadHeader       = "Mimosa-Load"
)

// Timeouts and intervals of the request path.
const (
	// MaxUnpinnedGrant is the maximum duration of a grant that is not pinned.
	// Requests that may take longer use a pinned slot. It must equal MaxGrant of
	// tenure.DefaultLimits.
	MaxUnpinnedGrant = 6 * clock.Second
	// GracePeriod is the maximum time that an upstream may continue to run a
	// request after its connection was closed or its deadline passed. It must
	// equal Grace of tenure.DefaultLimits.
	GracePeriod = 500 * clock.Millisecond
	// callerWriteTimeout limits one write to a caller.
	callerWriteTimeout = 30 * clock.Second
	// minStallTimeout is the minimum stall timeout of a connection.
	minStallTimeout = 2 * clock.Second
	// stallTimeoutFactor is the stall timeout of a connection as a multiple of
	// the p99 latency of the service.
	stallTimeoutFactor = 4
	// queueInterval is the interval between updates of the queues.
	queueInterval = 50 * clock.Millisecond
	// drainRetryAfter is the retry time that is returned to callers while the
	// process drains or is not ready.
	drainRetryAfter = 1 * clock.Second
)

const servicePrefix = "/s/"

// Sender sends one request to an upstream and returns the head of the response.
// Its errors carry a verdict.
type Sender interface {
	Send(ctx context.Context, c pool.Call) (*http.Response, error)
}

// Front serves callers. View, Clock and Sender must be set. [Front.Run] must
// run so that waiting requests are granted slots that become available without
// a release.
type Front struct {
	View   func() *control.View
	Clock  clock.Clock
	Sender Sender
	// Report receives the outcomes of attempts. It must not block. If it is nil,
	// outcomes are dropped.
	Report func(m control.Message) bool
	// Pinner grants pinned slots for long requests. If it is nil, [LocalPinner]
	// is used.
	Pinner Pinner

	refusing    atomic.Bool
	inFlight    atomic.Int64
	budget      retry.Budget
	callersOnce sync.Once
	callerGates *limit.Table
	teamGates   sync.Map // unit.Team to *limit.Gate
	dispatchers sync.Map // upstream set to *dispatcher
	attempts    group.Group
}

// Handler returns the handler for the port of the callers.
func (f *Front) Handler() http.Handler {
	f.callersOnce.Do(func() { f.callerGates = limit.NewTable() })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		markHandled(r)
		switch {
		case r.URL.Path == "/ready" && r.Method == http.MethodGet:
			f.ready(w)
		case strings.HasPrefix(r.URL.Path, servicePrefix):
			f.serve(w, r)
		default:
			countDecision("refusedPath")
			writeError(w, "", refuse(http.StatusNotFound, "path must begin with %s and a service", servicePrefix))
		}
	})
}

// Refuse makes f refuse all new requests with the verdict DidNotRun.
func (f *Front) Refuse() { f.refusing.Store(true) }

// InFlight returns the number of requests that are being served.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// ready responds to readiness probes: 200 if f accepts requests, else 503.
func (f *Front) ready(w http.ResponseWriter) {
	if !f.View().Ready || f.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve handles one request to a service, from its ID to the response.
func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	countDecision("requests")
	id, err := requestID(r)
	w.Header().Set(RequestHeader, string(id))
	if err == nil {
		err = f.forward(w, r, id)
	}
	switch {
	case err == errTruncated:
		// Reset the connection of the caller, so that a truncated response can't
		// be mistaken for a complete one.
		resetOnClose(r)
		panic(http.ErrAbortHandler)
	case err != nil:
		writeError(w, id, err)
	}
}

// forward sends r to an upstream and streams the response. Unless it returns
// errTruncated, an error implies that nothing has been written to w.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, id unit.Request) error {
	cr, err := f.accept(r, id)
	if err != nil {
		return err
	}
	leave, err := f.admit(r, cr)
	if err != nil {
		return err
	}
	defer leave()
	ctx, cancel := context.WithTimeout(r.Context(), cr.deadline.Sub(f.Clock.Now()).Duration())
	defer cancel()
	rc := http.NewResponseController(w)
	if err := cr.readBody(ctx, rc, r); err != nil {
		return err
	}
	defer cr.abortBodyRead(rc)
	f.budget.CountRequest(f.Clock.Now())
	res, err := f.forwardWithRetries(ctx, cr)
	if err != nil {
		return err
	}
	defer res.cancel()
	return f.streamResponse(w, rc, cr, res)
}

// accept validates r and resolves its service and deadline. It acquires no
// limits or slots.
func (f *Front) accept(r *http.Request, id unit.Request) (*callerRequest, error) {
	view := f.View()
	if view.Routes == nil || !view.Ready && !view.Draining || f.refusing.Load() {
		countDecision("refusedNotReady")
		return nil, refuseWithRetry(http.StatusServiceUnavailable, drainRetryAfter, "process takes no requests")
	}
	if err := validateRequest(r); err != nil {
		countDecision("refusedRequest")
		return nil, err
	}
	name, path := splitPath(r)
	target := view.Routes.Targets[name]
	if target == nil {
		countDecision("refusedService")
		return nil, refuse(http.StatusNotFound, "unknown service")
	}
	span, err := timeoutOf(r, target.Service.DeadlineMs)
	if err != nil {
		countDecision("refusedRequest")
		return nil, err
	}
	cr := &callerRequest{id: id, service: target.Service, path: path, httpRequest: r, deadline: f.Clock.Now().Add(span)}
	cr.currentTarget.Store(target)
	return cr, nil
}

// admit enforces the limits of the team and of the caller. The function leave
// must be called when the request ends.
func (f *Front) admit(r *http.Request, cr *callerRequest) (leave func(), err error) {
	team := cr.target().Team
	if team == nil {
		return func() {}, nil
	}
	now := f.Clock.Now()
	tg := f.teamGate(team.Name)
	ok, retryAfter := tg.Enter(limit.Limits{PerSecond: team.RequestsPerSecond, Burst: team.Burst, Concurrent: team.Concurrent}, now)
	if !ok {
		countDecision("refusedTeam")
		return nil, refuseWithRetry(http.StatusTooManyRequests, retryAfter, "limit of the team is reached")
	}
	cg := f.callerGates.Gate(callerKey(r), now)
	ok, retryAfter = cg.Enter(limit.Limits{PerSecond: team.CallerPerSecond, Concurrent: team.CallerConcurrent}, now)
	if !ok {
		tg.Leave()
		countDecision("refusedCaller")
		return nil, refuseWithRetry(http.StatusTooManyRequests, retryAfter, "limit of the caller is reached")
	}
	return func() { cg.Leave(); tg.Leave() }, nil
}

// teamGate returns the gate of the team and creates it if necessary.
func (f *Front) teamGate(team unit.Team) *limit.Gate {
	if g, ok := f.teamGates.Load(team); ok {
		return g.(*limit.Gate)
	}
	g, _ := f.teamGates.LoadOrStore(team, new(limit.Gate))
	return g.(*limit.Gate)
}

// Run updates the queues every queueInterval until ctx ends. This covers slots
// that become available without a release, when this process is granted more.
func (f *Front) Run(ctx context.Context) error {
	ticker := time.NewTicker(queueInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f.updateQueues()
		}
	}
}

// updateQueues updates the dispatcher of each upstream set once.
func (f *Front) updateQueues() {
	view := f.View()
	if view.Routes == nil {
		return
	}
	now := f.Clock.Now()
	seen := make(map[string]bool)
	for _, t := range view.Routes.Targets {
		if set := t.Service.UpstreamSet; !seen[set] {
			seen[set] = true
			f.dispatcher(t).update(now, t)
		}
	}
}

// combineVerdicts returns the verdict of a request from the combined verdict of
// its earlier attempts and the verdict of the last one. If any attempt may have
// run, the request may have run.
func combineVerdicts(earlier, last verdict.Verdict) verdict.Verdict {
	if earlier == verdict.MayHaveRun {
		return verdict.MayHaveRun
	}
	return last
}
