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

// hold is a slot that a request has.
type hold struct {
	front    *Front
	upstream *route.Upstream
	class    service.Class
	pool     *dispatcher // nil for a pinned slot
}

func (h *hold) release() {
	if h.pool != nil {
		h.pool.release(h.upstream, h.class)
		return
	}
	h.upstream.Pinned.Release()
	h.upstream.Refresh()
}

// releaseAfter gives the slot back when an upstream that may still run the
// request must have stopped: after the grace, or after the deadline and the
// grace if it does not know that the connection ended.
func (h *hold) releaseAfter(err error, deadline clock.Millis) {
	wait := Grace
	if !pool.Closed(err) {
		wait += max(0, deadline.Sub(h.front.Clock.Now()))
	}
	count("slotsHeldForGrace")
	time.AfterFunc(wait.Duration(), h.release)
}

// result is a request that was answered; its body is still to be streamed.
type result struct {
	resp    *http.Response
	hold    *hold
	started time.Time
	cancel  context.CancelFunc
	err     error
}

// run gets a slot, sends j and repeats it where that is allowed.
func (f *Front) run(ctx context.Context, j *job) (*result, error) {
	worst := verdict.DidNotRun
	for retries := 0; ; retries++ {
		h, err := f.slot(ctx, j)
		if err != nil {
			return nil, worsened(err, worst)
		}
		res := f.send(ctx, j, h)
		busy := res.err == nil && res.resp.StatusCode == http.StatusServiceUnavailable
		if res.err == nil && !busy {
			return res, nil
		}
		v := verdict.MayHaveRun
		if !busy {
			v = verdict.Of(res.err)
		}
		j.exclude(h.upstream)
		j.renew(f.View())
		again := ctx.Err() == nil && f.mayRetry(j, v, retries) && j.hasOther() && f.budget.Spend(f.Clock.Now())
		switch {
		case busy && !again:
			return res, nil
		case !again:
			return nil, worsened(res.err, worst)
		case busy:
			res.discard()
		}
		worst = verdictOf(worst, v)
		count("retries")
	}
}

// worsened returns err with the verdict of the whole request.
func worsened(err error, worst verdict.Verdict) error {
	v := verdictOf(worst, verdict.Of(err))
	if v == verdict.Of(err) {
		return err
	}
	return &verdict.Error{Verdict: v, Reason: "an earlier attempt may have run", Err: err}
}

func (j *job) exclude(u *route.Upstream) {
	for i, e := range j.except {
		if e == nil {
			j.except[i] = u
			return
		}
	}
}

// hasOther reports whether there is an upstream that j was not sent to.
func (j *job) hasOther() bool {
	for _, u := range j.target().Upstreams {
		if !slices.Contains(j.except[:], u) {
			return true
		}
	}
	return false
}

func (f *Front) mayRetry(j *job, v verdict.Verdict, retries int) bool {
	a := retry.Attempt{
		Verdict:    v,
		Idempotent: j.service.Idempotent,
		Replayable: j.replayable(),
		Retries:    retries,
		Remaining:  j.deadline.Sub(f.Clock.Now()),
	}
	if j.target().Stats != nil {
		a.Service = j.target().Stats.P50().Span()
	}
	return retry.Allowed(a)
}

// slot gets a slot for j, a pinned one if j may outlast a quick grant.
func (f *Front) slot(ctx context.Context, j *job) (*hold, error) {
	if j.service.Class != service.Long && j.deadline.Sub(f.Clock.Now()) <= QuickGrant {
		d := f.dispatcher(j.target())
		u, out, err := d.acquire(ctx, j)
		switch {
		case err != nil:
			return nil, err
		case u != nil && ctx.Err() != nil:
			d.release(u, j.service.Class)
			return nil, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "request ended while it waited", Err: ctx.Err()}
		case u != nil:
			if u.DataCentre != j.target().Groups[0].DataCentre {
				count("spilled")
			}
			return &hold{front: f, upstream: u, class: j.service.Class, pool: d}, nil
		case out != route.BeyondGrant:
			count("refusedNoUpstream")
			return nil, later(http.StatusServiceUnavailable, queueRetry, "service has no upstream")
		}
	}
	return f.pin(ctx, j)
}

func (f *Front) pin(ctx context.Context, j *job) (*hold, error) {
	p := f.Pinner
	if p == nil {
		p = LocalPinner{}
	}
	u, err := p.Pin(ctx, j.target(), j.deadline)
	if err != nil {
		count("refusedPin")
		return nil, err
	}
	count("pinned")
	h := &hold{front: f, upstream: u, class: j.service.Class}
	if slices.Contains(j.except[:], u) {
		h.release()
		return nil, verdict.Refuse("no other upstream has a slot")
	}
	return h, nil
}

// send makes one attempt, and a second one beside it if it is slow and j may be
// hedged.
func (f *Front) send(ctx context.Context, j *job, h *hold) *result {
	after, hedge := time.Duration(0), false
	if s := j.target().Stats; s != nil && h.pool != nil && !j.streams() {
		var span clock.Span
		span, hedge = retry.HedgeAfter(j.service, s.P50().Span(), s.P95().Span(), j.deadline.Sub(f.Clock.Now()))
		after = span.Duration()
	}
	if !hedge {
		return f.attempt(ctx, j, h)
	}
	results := make(chan *result, 2)
	cancels := make(map[*hold]context.CancelFunc, 2)
	start := func(h *hold) {
		actx, cancel := context.WithCancel(ctx)
		cancels[h] = cancel
		f.attempts.Go("attempt", func(context.Context) error {
			r := f.attempt(actx, j, h)
			r.cancel = cancel
			results <- r
			return nil
		})
	}
	start(h)
	timer := time.NewTimer(after)
	defer timer.Stop()
	worst := verdict.DidNotRun
	for pending := 1; ; {
		select {
		case r := <-results:
			pending--
			if r.err != nil {
				r.cancel()
				r.err = worsened(r.err, worst)
				worst = verdict.Of(r.err)
			}
			if r.err == nil || pending == 0 {
				delete(cancels, r.hold)
				f.abandon(results, cancels, pending)
				return r
			}
		case <-timer.C:
			if other := f.hedgeSlot(j, h); other != nil {
				count("hedges")
				start(other)
				pending++
			}
		}
	}
}

// hedgeSlot takes a slot on another upstream if there is one now and the budget
// allows it.
func (f *Front) hedgeSlot(j *job, first *hold) *hold {
	j.renew(f.View())
	now := f.Clock.Now()
	q := j.query(now)
	q.Except[route.MaxExcept-1] = first.upstream
	u := first.pool.tryAcquire(j, q)
	if u == nil {
		return nil
	}
	h := &hold{front: f, upstream: u, class: j.service.Class, pool: first.pool}
	if !f.budget.Spend(now) {
		h.release()
		return nil
	}
	return h
}

// abandon ends the attempts that lost.
func (f *Front) abandon(results <-chan *result, cancels map[*hold]context.CancelFunc, pending int) {
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

// attempt sends j on h. If it fails, the slot is given back as soon as the
// upstream can't be running the request.
func (f *Front) attempt(ctx context.Context, j *job, h *hold) *result {
	res := &result{hold: h, started: time.Now(), cancel: func() {}}
	remaining := j.deadline.Sub(f.Clock.Now())
	if remaining <= 0 {
		h.release()
		res.err = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "deadline has passed", Err: context.DeadlineExceeded}
		return res
	}
	out, part := j.outgoing(h.upstream, remaining)
	res.resp, res.err = f.Sender.Send(ctx, pool.Call{To: h.upstream.Address, Request: out, Silence: j.silence()})
	if res.err == nil {
		f.answered(j, res)
		return res
	}
	part.seal()
	f.failed(j, h.upstream, res.started, res.err)
	if verdict.Of(res.err) == verdict.DidNotRun {
		h.release()
	} else {
		h.releaseAfter(res.err, j.deadline)
	}
	return res
}

// silence returns how long a connection may be silent under j.
func (j *job) silence() clock.Span {
	if j.service.Class == service.Long || j.target().Stats == nil || j.target().Stats.P99() == 0 {
		return 0
	}
	return max(minSilence, silenceFactor*j.target().Stats.P99().Span())
}

// answered reports the head of an answer.
func (f *Front) answered(j *job, res *result) {
	u := res.hold.upstream
	o := control.Outcome{
		Upstream: u.Address,
		Service:  j.service.Name,
		Class:    j.service.Class,
		Latency:  route.Latency(time.Since(res.started) / time.Microsecond),
		Failed:   res.resp.StatusCode == http.StatusServiceUnavailable,
		InFlight: u.InFlight(),
	}
	if load, err := strconv.ParseInt(res.resp.Header.Get(LoadHeader), 10, 32); err == nil && load >= 0 {
		u.Report(load)
		o.Reported = true
	}
	o.Busyness = u.Busyness()
	f.report(o)
}

// dialPatience is how long an upstream may take to accept a connection before
// the end of a request in that time counts against it.
const dialPatience = route.Latency(100_000)

// failed reports a failure unless the caller or a single connection caused it.
// A request whose deadline passed speaks against the upstream only if it had
// much more than the usual time.
func (f *Front) failed(j *job, u *route.Upstream, started time.Time, err error) {
	var body *pool.BodyError
	took := route.Latency(time.Since(started) / time.Microsecond)
	switch {
	case errors.As(err, &body), errors.Is(err, context.Canceled):
		count("callerGone")
		return
	case errors.Is(err, pool.ErrSilent):
		count("silent")
		return
	case errors.Is(err, context.DeadlineExceeded) && verdict.Of(err) == verdict.DidNotRun:
		count("deadlinePassed")
		if took < dialPatience {
			return
		}
	case errors.Is(err, context.DeadlineExceeded):
		count("deadlinePassed")
		if j.service.Class == service.Long || j.target().Stats == nil || j.target().Stats.P99() == 0 || took < silenceFactor*j.target().Stats.P99() {
			return
		}
	}
	count("attemptsFailed")
	f.report(control.Outcome{Upstream: u.Address, Service: j.service.Name, Class: j.service.Class, Failed: true, InFlight: u.InFlight()})
}

func (f *Front) report(o control.Outcome) {
	if f.Report != nil {
		f.Report(o)
	}
}

// discard drops an answer that nobody gets. The upstream has answered, but may
// still be sending; the slot is kept for the grace.
func (r *result) discard() {
	r.cancel()
	if r.err != nil {
		return
	}
	r.resp.Body.Close()
	r.hold.releaseAfter(nil, 0)
}
