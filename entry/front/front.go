package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
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

// Sender sends one request to an upstream and returns the answer's head. Errors
// carry a verdict.
type Sender interface {
	Send(ctx context.Context, to unit.Upstream, r *http.Request) (*http.Response, error)
}

// Front serves callers. All fields must be set.
type Front struct {
	View   func() *control.View
	Clock  clock.Clock
	Sender Sender
}

// Handler returns the mux of the caller's port.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/s/{service}/{path...}", f.serve)
	mux.HandleFunc("GET /ready", f.ready)
	return mux
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if !f.View().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(RequestHeader, string(id))
	if err := f.forward(w, r, id); err != nil {
		writeError(w, id, err)
	}
}

// forward sends r to an upstream and streams the answer. A non-nil error means
// that nothing was written to w yet.
func (f *Front) forward(w http.ResponseWriter, r *http.Request, id unit.Request) error {
	view := f.View()
	if !view.Ready {
		return &refusal{http.StatusServiceUnavailable, verdict.Refuse("process is not ready")}
	}
	target := view.Routes.Targets[unit.Service(r.PathValue("service"))]
	if target == nil {
		return &refusal{http.StatusNotFound, verdict.Refuse("unknown service")}
	}
	span, err := deadlineOf(r, target.Service.DeadlineMs)
	if err != nil {
		return err
	}
	deadline := f.Clock.Now().Add(span)
	up := target.Choose(deadline)
	if up == nil {
		return &refusal{http.StatusServiceUnavailable, verdict.Refuse("all slots are in use")}
	}
	defer up.Slots.Release()
	ctx, cancel := context.WithTimeout(r.Context(), span.Duration())
	defer cancel()
	resp, err := f.Sender.Send(ctx, up.Address, outgoing(r, target, up, id, span))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return stream(w, resp)
}

func outgoing(r *http.Request, t *route.Target, up *route.Upstream, id unit.Request, span clock.Span) *http.Request {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host = "http", string(up.Address)
	out.URL.Path, out.URL.RawPath = "/"+r.PathValue("path"), ""
	out.RequestURI = ""
	out.Header.Set(DeadlineHeader, strconv.FormatInt(int64(span), 10))
	out.Header.Set(RequestHeader, string(id))
	out.Header.Set(ClassHeader, t.Service.Class.String())
	return out
}

// stream copies the answer. An answer that breaks off breaks the caller's
// connection too, so that it can't be taken for a whole one.
func stream(w http.ResponseWriter, resp *http.Response) error {
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func requestID(r *http.Request) unit.Request {
	if id := r.Header.Get(RequestHeader); id != "" {
		return unit.Request(id)
	}
	return unit.Request(uuid.NewString())
}

func deadlineOf(r *http.Request, longest clock.Span) (clock.Span, error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return longest, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, &refusal{http.StatusBadRequest, verdict.Refuse("%s must be a positive number of milliseconds", DeadlineHeader)}
	}
	return min(clock.Span(ms), longest), nil
}

// refusal is an error with an HTTP status of its own.
type refusal struct {
	status int
	err    *verdict.Error
}

func (r *refusal) Error() string { return r.err.Error() }
func (r *refusal) Unwrap() error { return r.err }

// answer is the body of the system's own answers.
type answer struct {
	Verdict      verdict.Verdict `json:"verdict"`
	Reason       string          `json:"reason"`
	RetryAfterMs clock.Span      `json:"retryAfterMs,omitempty"`
	RequestID    unit.Request    `json:"requestId"`
}

func writeError(w http.ResponseWriter, id unit.Request, err error) {
	status := http.StatusBadGateway
	var ref *refusal
	if errors.As(err, &ref) {
		status = ref.status
	}
	a := answer{Verdict: verdict.Of(err), Reason: "upstream failed", RequestID: id}
	var ve *verdict.Error
	if errors.As(err, &ve) {
		a.Reason, a.RetryAfterMs = ve.Reason, ve.RetryAfter
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(VerdictHeader, a.Verdict.String())
	if a.RetryAfterMs > 0 {
		h.Set(RetryAfterHeader, strconv.FormatInt(int64(a.RetryAfterMs), 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}
