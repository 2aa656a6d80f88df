package front

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mimosadock/entry/control"
	"mimosadock/entry/pool"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/retry"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/verdict"
)

// heldSlot is a slot that is taken by one attempt of a request.
type heldSlot struct {
	front      *Front
	upstream   *route.Upstream
	class      service.Class
	dispatcher *dispatcher // nil for a pinned slot
}

// release returns the slot to its dispatcher, or to the pinned slots of the
// upstream.
func (h *heldSlot) release() {
	if h.dispatcher != nil {
		h.dispatcher.release(h.upstream, h.class)
		return
	}
	h.upstream.Pinned.Release()
	h.upstream.Refresh()
}

// releaseAfter releases the slot at the time by which the upstream must have
// stopped running the request. This is GracePeriod from now if err shows that
// the upstream detects the end of the connection, else GracePeriod after the
// deadline.
func (h *heldSlot) releaseAfter(err error, deadline clock.Millis) {
	wait := GracePeriod
	if !pool.UpstreamDetectsClose(err) {
		wait += max(0, deadline.Sub(h.front.Clock.Now()))
	}
	countDecision("slotsHeldForGrace")
	time.AfterFunc(wait.Duration(), h.release)
}

// attemptResult is the outcome of one attempt. If err is nil, resp holds the
// head of the response, its body is still to be streamed, and the slot is still
// held.
type attemptResult struct {
	resp      *http.Response
	slot      *heldSlot
	startedAt time.Time
	cancel    context.CancelFunc
	err       error
}

// forwardWithRetries acquires a slot, sends cr and retries it on another
// upstream as far as the retry policy and the retry budget allow. The verdict
// of an error covers all attempts.
func (f *Front) forwardWithRetries(ctx context.Context, cr *callerRequest) (*attemptResult, error) {
	earlier := verdict.DidNotRun
	for retries := 0; ; retries++ {
		h, err := f.acquireSlot(ctx, cr)
		if err != nil {
			return nil, withEarlierVerdict(err, earlier)
		}
		res := f.attemptWithHedge(ctx, cr, h)
		unavailable := res.err == nil && res.resp.StatusCode == http.StatusServiceUnavailable
		if res.err == nil && !unavailable {
			return res, nil
		}
		v := verdict.MayHaveRun
		if !unavailable {
			v = verdict.Of(res.err)
		}
		cr.excludeUpstream(h.upstream)
		cr.refreshTarget(f.View())
		retrying := ctx.Err() == nil && f.mayRetry(cr, v, retries) && cr.hasUntriedUpstream() && f.budget.Spend(f.Clock.Now())
		switch {
		case unavailable && !retrying:
			return res, nil
		case !retrying:
			return nil, withEarlierVerdict(res.err, earlier)
		case unavailable:
			res.discard()
		}
		earlier = combineVerdicts(earlier, v)
		countDecision("retries")
	}
}

// withEarlierVerdict returns err with the verdict of the whole request, given
// the combined verdict of the earlier attempts.
func withEarlierVerdict(err error, earlier verdict.Verdict) error {
	v := combineVerdicts(earlier, verdict.Of(err))
	if v == verdict.Of(err) {
		return err
	}
	return &verdict.Error{Verdict: v, Reason: "an earlier attempt may have run", Err: err}
}

// excludeUpstream keeps later attempts from using u. It has no effect if
// route.MaxExcluded upstreams are excluded.
func (cr *callerRequest) excludeUpstream(u *route.Upstream) {
	for i, e := range cr.excluded {
		if e == nil {
			cr.excluded[i] = u
			return
		}
	}
}

// hasUntriedUpstream reports whether an upstream is left that cr was not sent
// to.
func (cr *callerRequest) hasUntriedUpstream() bool {
	for _, u := range cr.target().Upstreams {
		if !slices.Contains(cr.excluded[:], u) {
			return true
		}
	}
	return false
}

// mayRetry reports whether the retry policy allows another attempt after one
// with verdict v.
func (f *Front) mayRetry(cr *callerRequest, v verdict.Verdict, retries int) bool {
	a := retry.FailedAttempt{
		Verdict:    v,
		Idempotent: cr.service.Idempotent,
		Replayable: cr.isReplayable(),
		Retries:    retries,
		Remaining:  cr.deadline.Sub(f.Clock.Now()),
	}
	if cr.target().Stats != nil {
		a.ResponseTime = cr.target().Stats.P50().Span()
	}
	return retry.Allowed(a)
}

// acquireSlot acquires a slot for cr. The slot is pinned if cr may outlast an
// unpinned grant.
func (f *Front) acquireSlot(ctx context.Context, cr *callerRequest) (*heldSlot, error) {
	if cr.service.Class != service.Long && cr.deadline.Sub(f.Clock.Now()) <= MaxUnpinnedGrant {
		d := f.dispatcher(cr.target())
		u, out, err := d.acquire(ctx, cr)
		switch {
		case err != nil:
			return nil, err
		case u != nil && ctx.Err() != nil:
			d.release(u, cr.service.Class)
			return nil, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "request ended while it waited", Err: ctx.Err()}
		case u != nil:
			if u.DataCentre != cr.target().Groups[0].DataCentre {
				countDecision("spilled")
			}
			return &heldSlot{front: f, upstream: u, class: cr.service.Class, dispatcher: d}, nil
		case out != route.BeyondGrant:
			countDecision("refusedNoUpstream")
			return nil, refuseWithRetry(http.StatusServiceUnavailable, minQueueRetryAfter, "service has no upstream")
		}
	}
	return f.acquirePinnedSlot(ctx, cr)
}

// acquirePinnedSlot acquires a pinned slot for cr. It refuses the request if
// the slot is on an upstream that cr has already used.
func (f *Front) acquirePinnedSlot(ctx context.Context, cr *callerRequest) (*heldSlot, error) {
	p := f.Pinner
	if p == nil {
		p = LocalPinner{}
	}
	u, err := p.Pin(ctx, cr.target(), cr.deadline)
	if err != nil {
		countDecision("refusedPin")
		return nil, err
	}
	countDecision("pinned")
	h := &heldSlot{front: f, upstream: u, class: cr.service.Class}
	if slices.Contains(cr.excluded[:], u) {
		h.release()
		return nil, verdict.Refuse("no other upstream has a slot")
	}
	return h, nil
}

// attemptWithHedge makes one attempt. If the attempt exceeds the hedge delay
// and cr may be hedged, it makes a second, concurrent attempt and returns the
// first response.
func (f *Front) attemptWithHedge(ctx context.Context, cr *callerRequest, h *heldSlot) *attemptResult {
	delay, hedge := time.Duration(0), false
	if s := cr.target().Stats; s != nil && h.dispatcher != nil && !cr.streamsBody() {
		var span clock.Span
		span, hedge = retry.HedgeDelay(cr.service, s.P50().Span(), s.P95().Span(), cr.deadline.Sub(f.Clock.Now()))
		delay = span.Duration()
	}
	if !hedge {
		return f.attempt(ctx, cr, h)
	}
	results := make(chan *attemptResult, 2)
	cancels := make(map[*heldSlot]context.CancelFunc, 2)
	start := func(h *heldSlot) {
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels[h] = cancel
		f.attempts.Go("attempt", func(context.Context) error {
			r := f.attempt(attemptCtx, cr, h)
			r.cancel = cancel
			results <- r
			return nil
		})
	}
	start(h)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	earlier := verdict.DidNotRun
	for pending := 1; ; {
		select {
		case r := <-results:
			pending--
			if r.err != nil {
				r.cancel()
				r.err = withEarlierVerdict(r.err, earlier)
				earlier = verdict.Of(r.err)
			}
			if r.err == nil || pending == 0 {
				delete(cancels, r.slot)
				f.cancelAttempts(results, cancels, pending)
				return r
			}
		case <-timer.C:
			if other := f.hedgeSlot(cr, h); other != nil {
				countDecision("hedges")
				start(other)
				pending++
			}
		}
	}
}

// hedgeSlot takes a slot on another upstream without waiting. It returns nil if
// no slot is free or the retry budget is exhausted.
func (f *Front) hedgeSlot(cr *callerRequest, original *heldSlot) *heldSlot {
	cr.refreshTarget(f.View())
	now := f.Clock.Now()
	q := cr.routeQuery(now)
	// At most retry.MaxRetries = MaxExcluded-1 upstreams are excluded so far, so the
	// last place is free for the upstream of the original attempt.
	q.Excluded[route.MaxExcluded-1] = original.upstream
	u := original.dispatcher.tryAcquire(cr, q)
	if u == nil {
		return nil
	}
	h := &heldSlot{front: f, upstream: u, class: cr.service.Class, dispatcher: original.dispatcher}
	if !f.budget.Spend(now) {
		h.release()
		return nil
	}
	return h
}

// cancelAttempts cancels the attempts that are still pending after another one
// succeeded and discards their results.
func (f *Front) cancelAttempts(results <-chan *attemptResult, cancels map[*heldSlot]context.CancelFunc, pending int) {
	for _, cancel := range cancels {
		cancel()
	}
	if pending == 0 {
		return
	}
	f.attempts.Go("abandon", func(context.Context) error {
		for range pending {
			(<-results).discard()
		}
		return nil
	})
}

// attempt sends cr to the upstream of h. If the attempt fails, the slot is
// released at the time when the upstream can no longer be running the request.
func (f *Front) attempt(ctx context.Context, cr *callerRequest, h *heldSlot) *attemptResult {
	res := &attemptResult{slot: h, startedAt: time.Now(), cancel: func() {}}
	remaining := cr.deadline.Sub(f.Clock.Now())
	if remaining <= 0 {
		h.release()
		res.err = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "deadline has passed", Err: context.DeadlineExceeded}
		return res
	}
	out, body := cr.newUpstreamRequest(h.upstream, remaining)
	res.resp, res.err = f.Sender.Send(ctx, pool.Call{To: h.upstream.Address, Request: out, StallTimeout: cr.stallTimeout()})
	if res.err == nil {
		f.reportResponse(cr, res)
		return res
	}
	body.seal()
	f.reportFailure(cr, h.upstream, res.startedAt, res.err)
	if verdict.Of(res.err) == verdict.DidNotRun {
		h.release()
	} else {
		h.releaseAfter(res.err, cr.deadline)
	}
	return res
}

// stallTimeout returns the time after which a connection without progress
// counts as stalled. It returns zero, which disables the check, for long
// requests and for services without latency statistics.
func (cr *callerRequest) stallTimeout() clock.Span {
	if cr.service.Class == service.Long || cr.target().Stats == nil || cr.target().Stats.P99() == 0 {
		return 0
	}
	return max(minStallTimeout, stallTimeoutFactor*cr.target().Stats.P99().Span())
}

// reportResponse reports the outcome and the latency up to the head of the
// response. A 503 counts as a failure. It also stores the load that the
// upstream reported in the response.
func (f *Front) reportResponse(cr *callerRequest, res *attemptResult) {
	u := res.slot.upstream
	o := control.AttemptOutcome{
		Upstream: u.Address,
		Service:  cr.service.Name,
		Class:    cr.service.Class,
		Latency:  route.Latency(time.Since(res.startedAt) / time.Microsecond),
		Failed:   res.resp.StatusCode == http.StatusServiceUnavailable,
		InFlight: u.InFlight(),
	}
	if load, err := strconv.ParseInt(res.resp.Header.Get(LoadHeader), 10, 32); err == nil && load >= 0 {
		u.RecordLoad(load)
		o.LoadReported = true
	}
	o.EstimatedLoad = u.EstimatedInFlight()
	f.report(o)
}

// minFailedDialTime is the time in microseconds from which a dial that ends at
// the deadline of the request counts as a failure of the upstream.
const minFailedDialTime = route.Latency(100_000)

// reportFailure reports a failure of the upstream. Failures that the caller or
// a single connection caused are not reported. A passed deadline is reported
// only if the dial took minFailedDialTime or the attempt took
// stallTimeoutFactor times the p99 of the service.
func (f *Front) reportFailure(cr *callerRequest, u *route.Upstream, startedAt time.Time, err error) {
	var body *pool.BodyError
	elapsed := route.Latency(time.Since(startedAt) / time.Microsecond)
	switch {
	case errors.As(err, &body), errors.Is(err, context.Canceled):
		countDecision("callerGone")
		return
	case errors.Is(err, pool.ErrStalled):
		countDecision("silent")
		return
	case errors.Is(err, context.DeadlineExceeded) && verdict.Of(err) == verdict.DidNotRun:
		countDecision("deadlinePassed")
		if elapsed < minFailedDialTime {
			return
		}
	case errors.Is(err, context.DeadlineExceeded):
		countDecision("deadlinePassed")
		if cr.service.Class == service.Long || cr.target().Stats == nil || cr.target().Stats.P99() == 0 || elapsed < stallTimeoutFactor*cr.target().Stats.P99() {
			return
		}
	}
	countDecision("attemptsFailed")
	f.report(control.AttemptOutcome{Upstream: u.Address, Service: cr.service.Name, Class: cr.service.Class, Failed: true, InFlight: u.InFlight()})
}

// report sends o to Report if it is set.
func (f *Front) report(o control.AttemptOutcome) {
	if f.Report != nil {
		f.Report(o)
	}
}

// discard drops a response that isn't forwarded to the caller. The slot is held
// for GracePeriod, since the upstream may still be sending the response.
func (r *attemptResult) discard() {
	r.cancel()
	if r.err != nil {
		return
	}
	r.resp.Body.Close()
	r.slot.releaseAfter(nil, 0)
}
