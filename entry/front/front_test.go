package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosadock/entry/control"
	"mimosadock/entry/pool"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// bubbleClock counts from start in the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (b bubbleClock) Now() clock.Millis { return clock.Millis(clock.SpanOf(time.Since(b.start))) }

// fixture is a Front with upstreams that have one quick and one slow slot each.
// It records the calls that Front sends.
type fixture struct {
	*Front
	view      atomic.Pointer[control.View]
	upstreams []*route.Upstream
	mu        sync.Mutex
	sent      []pool.Call
}

// newFixture returns a fixture with n upstreams. send responds to the attempts;
// the first attempt has number 1.
func newFixture(n int, send func(ctx context.Context, attempt int, c pool.Call) (*http.Response, error)) *fixture {
	fx := new(fixture)
	fx.view.Store(&control.View{Ready: true, Routes: &route.View{Targets: map[unit.Service]*route.Target{}}})
	for i := range n {
		u := &route.Upstream{Address: unit.Upstream(fmt.Sprint("upstream", i)), Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		u.Slots.Hold(1, clock.Never)
		u.Pinned.Hold(1, clock.Never)
		fx.upstreams = append(fx.upstreams, u)
	}
	group := route.NewGroup("kelso", true, 0, fx.upstreams)
	for _, s := range []service.Service{
		{Name: "lookup", Class: service.Urgent, DeadlineMs: 2000, Idempotent: true, Hedge: true},
		{Name: "order", Class: service.Standard, DeadlineMs: 2000},
		{Name: "report", Class: service.Bulk, DeadlineMs: 2000},
		{Name: "slow", Class: service.Standard, DeadlineMs: 30_000},
		{Name: "watch", Class: service.Long, DeadlineMs: 60_000},
	} {
		fx.view.Load().Routes.Targets[s.Name] = &route.Target{Service: &s, Groups: []*route.Group{group}, Upstreams: fx.upstreams, Stats: new(route.Stats), Team: &service.Team{Name: "marts"}}
	}
	fx.Front = &Front{View: fx.view.Load, Clock: bubbleClock{time.Now()}}
	fx.Sender = senderFunc(func(ctx context.Context, c pool.Call) (*http.Response, error) {
		fx.mu.Lock()
		fx.sent = append(fx.sent, c)
		attempt := len(fx.sent)
		fx.mu.Unlock()
		return send(ctx, attempt, c)
	})
	return fx
}

type senderFunc func(ctx context.Context, c pool.Call) (*http.Response, error)

func (s senderFunc) Send(ctx context.Context, c pool.Call) (*http.Response, error) { return s(ctx, c) }

func (fx *fixture) target(name unit.Service) *route.Target {
	return fx.view.Load().Routes.Targets[name]
}

func newResponse(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

func failure(v verdict.Verdict, cause error) error {
	return &verdict.Error{Verdict: v, Reason: "attempt failed", Err: cause}
}

// get sends a request and returns the response, or nil if it was truncated.
func (fx *fixture) get(ctx context.Context, path string, change ...func(*http.Request)) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	for _, c := range change {
		c(r)
	}
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			w = nil
		}
	}()
	fx.Handler().ServeHTTP(w, r)
	return w
}

func (fx *fixture) slotsInUse() (n unit.Slots) {
	for _, u := range fx.upstreams {
		n += u.InFlight()
	}
	return n
}

func header(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Add(name, value) }
}

// Guards against connections that stay open although the server has decided to close
// them after the response.
func TestConnectionIsClosedAfterResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(1, func(context.Context, int, pool.Call) (*http.Response, error) {
			a := newResponse(200, "ok")
			a.Header = http.Header{"Connection": {"keep-alive"}}
			return a, nil
		})
		w := httptest.NewRecorder()
		w.Header().Set("Connection", "close")
		fx.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/s/lookup/", nil))
		is.Equal(w.Code, 200)
		is.Equal(w.Header()["Connection"], []string{"close"})
	})
}

// Guards against a refusal without a verdict, or with a verdict other than
// didNotRun, which would prevent the caller from retrying.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		path   string
		header func(*http.Request)
		change func(*fixture)
		status int
	}{
		"unknown service":       {path: "/s/nothing/", status: http.StatusNotFound},
		"unknown path":          {path: "/other", status: http.StatusNotFound},
		"deadline not a number": {header: header(DeadlineHeader, "soon"), status: http.StatusBadRequest},
		"deadline zero":         {header: header(DeadlineHeader, "0"), status: http.StatusBadRequest},
		"deadline too large":    {header: header(DeadlineHeader, "99999999999999999999"), status: http.StatusBadRequest},
		"two deadlines": {header: func(r *http.Request) {
			r.Header[DeadlineHeader] = []string{"5", "6"}
		}, status: http.StatusBadRequest},
		"bad id":      {header: header(RequestHeader, "a b"), status: http.StatusBadRequest},
		"long id":     {header: header(RequestHeader, strings.Repeat("a", maxRequestIDLength+1)), status: http.StatusBadRequest},
		"long header": {header: header("X-Large", strings.Repeat("a", MaxHeaderBytes)), status: http.StatusRequestHeaderFieldsTooLarge},
		"upgrade":     {header: header("Upgrade", "websocket"), status: http.StatusBadRequest},
		"connect":     {header: func(r *http.Request) { r.Method = http.MethodConnect }, status: http.StatusMethodNotAllowed},
		"not ready":   {change: func(fx *fixture) { fx.view.Load().Ready = false }, status: http.StatusServiceUnavailable},
		"draining":    {change: func(fx *fixture) { fx.Refuse() }, status: http.StatusServiceUnavailable},
		"team rate":   {change: func(fx *fixture) { limitsOf(fx).setTeamRate(0.001) }, status: http.StatusTooManyRequests},
		"caller rate": {change: func(fx *fixture) { limitsOf(fx).setCallerRate(0.001) }, status: http.StatusTooManyRequests},
		"no upstream": {change: func(fx *fixture) { fx.target("lookup").Groups = nil }, status: http.StatusServiceUnavailable},
		"wait exceeds deadline": {change: func(fx *fixture) {
			publishLatency(fx.target("lookup").Stats, 3_000_000)
			fx.upstreams[0].Slots.Hold(0, clock.Never)
		}, status: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(1, func(context.Context, int, pool.Call) (*http.Response, error) { return newResponse(200, "ok"), nil })
				if tc.change != nil {
					tc.change(fx)
				}
				var changes []func(*http.Request)
				if tc.header != nil {
					changes = append(changes, tc.header)
				}
				if tc.path == "" {
					tc.path = "/s/lookup/"
				}
				w := fx.get(t.Context(), tc.path, changes...)
				if tc.status == http.StatusTooManyRequests { // the first request is accepted
					is.Equal(w.Code, http.StatusOK)
					w = fx.get(t.Context(), tc.path)
				}
				is.Equal(w.Code, tc.status)
				is.Equal(w.Header().Get(VerdictHeader), "didNotRun")
				var a errorResponse
				is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
				is.Equal(a.Verdict, verdict.DidNotRun)
				is.True(a.Reason != "")
				is.Equal(fx.slotsInUse(), unit.Slots(0))
			})
		})
	}
}

type teamLimits struct{ *service.Team }

func limitsOf(fx *fixture) teamLimits           { return teamLimits{fx.target("lookup").Team} }
func (t teamLimits) setTeamRate(rate float64)   { t.RequestsPerSecond = rate }
func (t teamLimits) setCallerRate(rate float64) { t.CallerPerSecond = rate }

// publishLatency sets all percentiles of s to l microseconds.
func publishLatency(s *route.Stats, l route.Latency) {
	samples := route.Samples{Stats: s}
	for range 100 {
		samples.Add(l)
	}
	samples.Publish()
}

// Guards against a slot that is released while the upstream may still run the
// request, and against a slot that is held longer than necessary.
func TestSlotIsHeldWhileUpstreamMayRun(t *testing.T) {
	waitForEnd := func(ctx context.Context, _ int, _ pool.Call) (*http.Response, error) {
		<-ctx.Done()
		return nil, failure(verdict.MayHaveRun, ctx.Err())
	}
	fails := func(v verdict.Verdict, cause error) func(context.Context, int, pool.Call) (*http.Response, error) {
		return func(context.Context, int, pool.Call) (*http.Response, error) { return nil, failure(v, cause) }
	}
	tests := map[string]struct {
		path            string
		send            func(ctx context.Context, attempt int, c pool.Call) (*http.Response, error)
		disconnectAfter clock.Span // time until the caller disconnects; 0 if it doesn't
		held            clock.Span // time from the start of the request
	}{
		"complete response": {send: func(context.Context, int, pool.Call) (*http.Response, error) { return newResponse(200, "ok"), nil }},
		"did not run":       {send: fails(verdict.DidNotRun, nil)},
		"may have run":      {send: fails(verdict.MayHaveRun, io.ErrUnexpectedEOF), held: GracePeriod},
		"stalled":           {send: fails(verdict.MayHaveRun, pool.ErrStalled), held: 2000 + GracePeriod},
		"truncated response": {send: func(context.Context, int, pool.Call) (*http.Response, error) {
			a := newResponse(200, "ok")
			a.Body = io.NopCloser(io.MultiReader(strings.NewReader("o"), failingReader{}))
			return a, nil
		}, held: GracePeriod},
		"deadline":                 {send: waitForEnd, held: 2000 + GracePeriod},
		"caller disconnects":       {send: waitForEnd, disconnectAfter: 300, held: 300 + GracePeriod},
		"long, caller disconnects": {path: "/s/watch/", send: waitForEnd, disconnectAfter: 10_000, held: 10_000 + GracePeriod},
		"long, complete response":  {path: "/s/watch/", send: func(context.Context, int, pool.Call) (*http.Response, error) { return newResponse(200, "ok"), nil }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(1, tc.send)
				start := time.Now()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.disconnectAfter > 0 {
					time.AfterFunc(tc.disconnectAfter.Duration(), cancel)
				}
				if tc.path == "" {
					tc.path = "/s/order/"
				}
				fx.get(ctx, tc.path)
				synctest.Wait()
				if tc.held > 0 {
					time.Sleep(tc.held.Duration() - time.Millisecond - time.Since(start))
					is.Equal(fx.slotsInUse(), unit.Slots(1))
					time.Sleep(2 * time.Millisecond)
				}
				is.Equal(fx.slotsInUse(), unit.Slots(0))
			})
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against requests that run twice, retries on the same upstream, more
// than two retries, and a verdict that ignores an earlier attempt.
func TestRetries(t *testing.T) {
	didNot, may := failure(verdict.DidNotRun, nil), failure(verdict.MayHaveRun, nil)
	busy := errors.New("503")
	tests := map[string]struct {
		path      string
		upstreams int
		outcomes  []error // of each attempt; nil is a 200 response
		status    int
		verdict   string
		attempts  int
	}{
		"order may have run":         {"/s/order/", 3, []error{may}, 502, "mayHaveRun", 1},
		"order did not run":          {"/s/order/", 3, []error{didNot, nil}, 200, "", 2},
		"order, second may have run": {"/s/order/", 3, []error{didNot, may}, 502, "mayHaveRun", 2},
		"order is busy":              {"/s/order/", 3, []error{busy}, 503, "", 1},
		"lookup may have run":        {"/s/lookup/", 3, []error{may, nil}, 200, "", 2},
		"lookup is busy":             {"/s/lookup/", 3, []error{busy, nil}, 200, "", 2},
		"lookup fails three times":   {"/s/lookup/", 4, []error{may, may, may, nil}, 502, "mayHaveRun", 3},
		"no other upstream":          {"/s/lookup/", 1, []error{didNot}, 503, "didNotRun", 1},
		"no other, may have run":     {"/s/lookup/", 1, []error{may}, 502, "mayHaveRun", 1},
		"last attempt did not run":   {"/s/lookup/", 4, []error{may, didNot, didNot}, 502, "mayHaveRun", 3},
		"watch did not run":          {"/s/watch/", 1, []error{didNot}, 503, "didNotRun", 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(tc.upstreams, func(_ context.Context, attempt int, _ pool.Call) (*http.Response, error) {
					switch err := tc.outcomes[attempt-1]; err {
					case nil:
						return newResponse(200, "ok"), nil
					case busy:
						return newResponse(503, ""), nil
					default:
						return nil, err
					}
				})
				w := fx.get(t.Context(), tc.path)
				is.Equal(w.Code, tc.status)
				is.Equal(w.Header().Get(VerdictHeader), tc.verdict)
				is.Equal(len(fx.sent), tc.attempts)
				used := map[unit.Upstream]bool{}
				for _, c := range fx.sent {
					is.True(!used[c.To])
					used[c.To] = true
				}
			})
		})
	}
}

// Guards against a retry or hedge on an upstream that left after the first
// attempt started.
func TestLaterAttemptsUseTheNewestView(t *testing.T) {
	for name, path := range map[string]string{"retry": "/s/order/", "hedge": "/s/lookup/"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var fx *fixture
				fx = newFixture(2, func(_ context.Context, _ int, c pool.Call) (*http.Response, error) {
					left := *fx.view.Load()
					left.Routes = &route.View{Targets: map[unit.Service]*route.Target{}}
					for name, old := range fx.view.Load().Routes.Targets {
						stays := old.Upstreams[:1]
						if stays[0].Address != c.To {
							stays = old.Upstreams[1:]
						}
						left.Routes.Targets[name] = &route.Target{Service: old.Service, Team: old.Team, Stats: old.Stats, Upstreams: stays, Groups: []*route.Group{route.NewGroup("kelso", true, 0, stays)}}
					}
					fx.view.Store(&left)
					time.Sleep(time.Second)
					return nil, failure(verdict.DidNotRun, nil)
				})
				publishLatency(fx.target("lookup").Stats, 100_000)
				fx.get(t.Context(), path)
				is.Equal(len(fx.sent), 1)
			})
		})
	}
}

// Guards against failures of the caller, of one connection or of a short
// deadline that are attributed to the upstream, and against failures of the
// upstream that are not reported.
func TestReportedFailures(t *testing.T) {
	tests := map[string]struct {
		err    error // nil for a 503 response
		after  clock.Span
		failed bool
	}{
		"refused":                {failure(verdict.DidNotRun, syscall.ECONNREFUSED), 0, true},
		"reset":                  {failure(verdict.MayHaveRun, syscall.ECONNRESET), 0, true},
		"busy":                   {nil, 0, true},
		"one stalled connection": {failure(verdict.MayHaveRun, pool.ErrStalled), 0, false},
		"caller disconnected":    {failure(verdict.MayHaveRun, context.Canceled), 0, false},
		"body of the caller":     {failure(verdict.MayHaveRun, &pool.BodyError{Err: io.ErrUnexpectedEOF}), 0, false},
		"short deadline":         {failure(verdict.MayHaveRun, context.DeadlineExceeded), 390, false},
		"four times the p99":     {failure(verdict.MayHaveRun, context.DeadlineExceeded), 400, true},
		"short deadline to dial": {failure(verdict.DidNotRun, context.DeadlineExceeded), 90, false},
		"dial without response":  {failure(verdict.DidNotRun, context.DeadlineExceeded), 100, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(1, func(context.Context, int, pool.Call) (*http.Response, error) {
					time.Sleep(tc.after.Duration())
					if tc.err == nil {
						return newResponse(503, ""), nil
					}
					return nil, tc.err
				})
				publishLatency(fx.target("order").Stats, 100_000)
				reported := false
				fx.Report = func(m control.Message) bool {
					reported = reported || m.(control.AttemptOutcome).Failed
					return true
				}
				fx.get(t.Context(), "/s/order/")
				is.Equal(reported, tc.failed)
			})
		})
	}
}

// Guards against retries that multiply the load when most attempts fail.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(3, func(context.Context, int, pool.Call) (*http.Response, error) {
			return nil, failure(verdict.DidNotRun, nil)
		})
		for range 100 {
			fx.get(t.Context(), "/s/order/")
		}
		is.Equal(len(fx.sent), 100+100/10+10)
	})
}

// Guards against a slow attempt without a hedge, a hedge of a service that
// forbids it, a hedge without a free slot, and a cancelled attempt that keeps
// its slot.
func TestHedge(t *testing.T) {
	tests := map[string]struct {
		path      string
		upstreams int
		attempts  int
	}{
		"lookup":         {"/s/lookup/", 2, 2},
		"order":          {"/s/order/", 2, 1},
		"no other slot":  {"/s/lookup/", 1, 1},
		"four upstreams": {"/s/lookup/", 4, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(tc.upstreams, func(ctx context.Context, attempt int, _ pool.Call) (*http.Response, error) {
					if attempt == 2 {
						return newResponse(200, "second"), nil
					}
					select {
					case <-ctx.Done():
						return nil, failure(verdict.MayHaveRun, ctx.Err())
					case <-time.After(time.Second):
						return newResponse(200, "first"), nil
					}
				})
				publishLatency(fx.target("lookup").Stats, 100_000)
				start := time.Now()
				w := fx.get(t.Context(), tc.path)
				is.Equal(w.Code, http.StatusOK)
				is.Equal(len(fx.sent), tc.attempts)
				is.Equal(time.Since(start) == 100*time.Millisecond, tc.attempts == 2)
				time.Sleep(2 * time.Second)
				is.Equal(fx.slotsInUse(), unit.Slots(0))
			})
		})
	}
}

// Guards against a request that waits while a slot is free, bulk requests that
// are served before urgent ones, and a wait that exceeds the deadline.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(1, func(context.Context, int, pool.Call) (*http.Response, error) {
			time.Sleep(400 * time.Millisecond)
			return newResponse(200, "ok"), nil
		})
		var wg sync.WaitGroup
		start, ends := time.Now(), map[string]time.Duration{}
		send := func(name, path string, status int, deadline string) {
			wg.Go(func() {
				w := fx.get(t.Context(), path, header(DeadlineHeader, deadline))
				if w.Code != status {
					t.Errorf("%s: status %d, want %d", name, w.Code, status)
				}
				fx.mu.Lock()
				ends[name] = time.Since(start)
				fx.mu.Unlock()
			})
			synctest.Wait()
		}
		send("first", "/s/order/", 200, "2000")
		send("bulk", "/s/report/", 200, "2000")
		send("standard", "/s/order/", 200, "1900")
		send("urgent", "/s/lookup/", 200, "2000")
		send("late", "/s/report/", 503, "1000")
		wg.Wait()
		is.Equal(ends["first"], 400*time.Millisecond)
		is.Equal(ends["urgent"], 800*time.Millisecond)
		is.Equal(ends["standard"], 1200*time.Millisecond)
		is.Equal(ends["late"], 1000*time.Millisecond)
		is.Equal(ends["bulk"], 1600*time.Millisecond)
		is.Equal(fx.slotsInUse(), unit.Slots(0))
	})
}

// Guards against a waiting request that is sent to an upstream that has left,
// and against newly granted slots that no waiting request receives.
func TestQueueUsesTheNewestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(1, func(context.Context, int, pool.Call) (*http.Response, error) { return newResponse(200, "ok"), nil })
		fx.upstreams[0].Slots.Hold(0, clock.Never)
		fx.target("order").Choose(route.Query{}) // marks the upstream as full
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = fx.Front.Run(ctx) })
		var w *httptest.ResponseRecorder
		wg.Go(func() { w = fx.get(ctx, "/s/order/") })
		synctest.Wait()
		fresh := &route.Upstream{Address: "fresh", Slots: new(slot.Counter), Pinned: new(slot.Counter)}
		fresh.Slots.Hold(1, clock.Never)
		fx.upstreams[0].Slots.Hold(1, clock.Never)
		target := *fx.target("order")
		target.Upstreams = []*route.Upstream{fresh}
		target.Groups = []*route.Group{route.NewGroup("kelso", true, 0, target.Upstreams)}
		fx.view.Store(&control.View{Ready: true, Routes: &route.View{Targets: map[unit.Service]*route.Target{"order": &target}}})
		time.Sleep(queueInterval.Duration() + time.Millisecond)
		cancel()
		wg.Wait()
		is.Equal(w.Code, http.StatusOK)
		is.Equal(fx.sent[0].To, unit.Upstream("fresh"))
	})
}

// Guards against long requests that use slots for short ones and the reverse,
// and against a grant that ends before the deadline of the request.
func TestPinnedSlots(t *testing.T) {
	tests := map[string]struct {
		path   string
		until  clock.Millis // end of the unpinned grant
		pinned unit.Slots
	}{
		"short":                           {"/s/order/", clock.Never, 0},
		"long":                            {"/s/watch/", clock.Never, 1},
		"deadline beyond unpinned grants": {"/s/slow/", clock.Never, 1},
		"deadline beyond this grant":      {"/s/order/", 1000, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var fx *fixture
				fx = newFixture(1, func(context.Context, int, pool.Call) (*http.Response, error) {
					is.Equal(fx.upstreams[0].Pinned.Used(), tc.pinned)
					is.Equal(fx.upstreams[0].Slots.Used(), 1-tc.pinned)
					return newResponse(200, "ok"), nil
				})
				fx.upstreams[0].Slots.Hold(1, tc.until)
				is.Equal(fx.get(t.Context(), tc.path).Code, http.StatusOK)
				is.Equal(fx.slotsInUse(), unit.Slots(0))
				is.True(fx.upstreams[0].Pinned.Take(0)) // no slot is left: refused without waiting
				is.Equal(fx.get(t.Context(), "/s/watch/").Header().Get(RetryAfterHeader), "1000")
			})
		})
	}
}

// Guards against a request to the upstream with a timeout beyond the remaining
// time, a wrong path, or the hop-by-hop headers of the caller.
func TestOutgoingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(1, func(context.Context, int, pool.Call) (*http.Response, error) {
			time.Sleep(300 * time.Millisecond)
			a := newResponse(200, "ok")
			a.Header = http.Header{LoadHeader: {"5"}, VerdictHeader: {"didNotRun"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"1"}, "X-End": {"1"}}
			return a, nil
		})
		var wg sync.WaitGroup
		wg.Go(func() { fx.get(t.Context(), "/s/order/") })
		synctest.Wait()
		w := fx.get(t.Context(), "/s/lookup/a%2Fb//c?q=1", header(DeadlineHeader, "1000"), header(RequestHeader, "id-1"),
			header("Connection", "close, X-Hop"), header("X-Hop", "1"), header("Te", "trailers"), header("X-End", "1"), header("Expect", "100-continue"))
		wg.Wait()
		out := fx.sent[1].Request
		is.Equal(out.Header.Get(DeadlineHeader), "700")
		is.Equal(out.Header.Get(RequestHeader), "id-1")
		is.Equal(out.Header.Get(ClassHeader), "urgent")
		is.Equal(out.URL.RequestURI(), "/a%2Fb//c?q=1")
		is.Equal(fx.upstreams[0].EstimatedInFlight(), int64(4)) // the upstream reported 5, and the request with the report has ended
		for _, h := range []http.Header{out.Header, w.Header()} {
			is.Equal(h.Get("X-End"), "1")
			for _, name := range []string{"Connection", "X-Hop", "Te", "Keep-Alive", "Expect", LoadHeader, VerdictHeader} {
				is.Equal(h.Get(name), "")
			}
		}
	})
}
