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

// Headers of the caller protocol and of the upstream protocol.
const (
	DeadlineHeader   = "Mimosa-Deadline-Ms"
	RequestHeader    = "Mimosa-Request-Id"
	ClassHeader      = "Mimosa-Class"
	VerdictHeader    = "Mimosa-Verdict"
	RetryAfterHeader = "Retry-After-Ms"
	LoadHeader       = "Mimosa-Load"
)

// Times of the request path.
const (
	// QuickGrant is the length of a quick grant. Requests that may take longer
	// are pinned.
	QuickGrant = 6 * clock.Second
	// GracePeriod is how long an upstream may go on with a request after its
	// connection was closed or its deadline has passed.
	GracePeriod = 500 * clock.Millisecond
	// callerWriteTimeout is how long a caller may take to accept a part of an answer.
	callerWriteTimeout = 30 * clock.Second
	// minStallTimeout is the shortest silence that counts against a connection.
	minStallTimeout = 2 * clock.Second
	// stallTimeoutFactor is how many times the p99 of a service counts as silence.
	stallTimeoutFactor = 4
	// queueInterval is the time between two looks at the queues.
	queueInterval = 50 * clock.Millisecond
	// drainRetryAfter is what callers of a draining process are told to wait.
	drainRetryAfter = 1 * clock.Second
)

const servicePrefix = "/s/"

// Sender sends one request to an upstream and returns the answer's head. Errors
// carry a verdict.
type Sender interface {
	Send(ctx context.Context, c pool.Call) (*http.Response, error)
}

// Front serves callers. View, Clock and Sender must be set. Queues are only
// looked at between releases while [Front.Run] runs.
type Front struct {
	View   func() *control.View
	Clock  clock.Clock
	Sender Sender
	// Report takes outcomes without waiting; nil drops them.
	Report func(m control.Message) bool
	// Pinner grants slots for long requests; nil for [LocalPinner].
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

// Handler returns the handler of the caller's port.
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

// Refuse makes all new requests be refused as not run.
func (f *Front) Refuse() { f.refusing.Store(true) }

// InFlight returns the requests that are being served.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

func (f *Front) ready(w http.ResponseWriter) {
	if !f.View().Ready || f.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

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
		// Breaks the caller's connection, so that a cut answer can't be taken
		// for a whole one.
		resetOnClose(r)
		panic(http.ErrAbortHandler)
	case err != nil:
		writeError(w, id, err)
	}
}

// forward sends r to an upstream and streams the answer. An error other than
// errCut means that nothing was written to w yet.
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
	f.budget.Request(f.Clock.Now())
	res, err := f.forwardWithRetries(ctx, cr)
	if err != nil {
		return err
	}
	defer res.cancel()
	return f.streamResponse(w, rc, cr, res)
}

// accept checks what can be checked before anything is done for r.
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

// admit passes the limits of the team and of the caller.
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

func (f *Front) teamGate(team unit.Team) *limit.Gate {
	if g, ok := f.teamGates.Load(team); ok {
		return g.(*limit.Gate)
	}
	g, _ := f.teamGates.LoadOrStore(team, new(limit.Gate))
	return g.(*limit.Gate)
}

// Run looks at the queues on each tick until ctx ends: slots can become free
// without a release, when more are granted.
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

// combineVerdicts joins the verdicts of the attempts of one request: once one may
// have run, the request may have run.
func combineVerdicts(earlier, last verdict.Verdict) verdict.Verdict {
	if earlier == verdict.MayHaveRun {
		return verdict.MayHaveRun
	}
	return last
}
