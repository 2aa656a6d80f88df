package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"mimosadock/entry/control"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Limits of a request.
const (
	// MaxHeaderBytes bounds the header of a request in bytes, names and values.
	MaxHeaderBytes     = 32 << 10
	maxRequestIDLength = 128
	// maxBufferedBody is the longest body that is read before a slot is taken, so
	// that a slow caller holds none and the request can be repeated.
	maxBufferedBody = 64 << 10
	firstChunkSize  = 4 << 10
)

// callerRequest is one request of a caller.
type callerRequest struct {
	id            unit.Request
	service       *service.Service
	currentTarget atomic.Pointer[route.Target]
	path          string // escaped, as the upstream gets it
	httpRequest   *http.Request
	deadline      clock.Millis
	excluded      [route.MaxExcept]*route.Upstream

	bufferedBody    []byte // the whole body, if it is small
	firstChunk      []byte // the first part of a body that streams
	remainingBody   io.Reader
	bodyReadStarted atomic.Bool // the rest was read from
	bodyReadEnded   atomic.Bool // the rest was read to its end
	stopBodyTimeout func() bool
}

// target returns the upstreams for the current attempt.
func (cr *callerRequest) target() *route.Target { return cr.currentTarget.Load() }

// refreshTarget takes the upstreams from the newest view: some may have left since an
// earlier attempt.
func (cr *callerRequest) refreshTarget(v *control.View) {
	if t := v.Routes.Targets[cr.service.Name]; t != nil {
		cr.currentTarget.Store(t)
	}
}

// streamsBody reports whether the body is sent while it is read.
func (cr *callerRequest) streamsBody() bool { return cr.remainingBody != nil }

// isReplayable reports whether the body can be sent from its start.
func (cr *callerRequest) isReplayable() bool { return !cr.bodyReadStarted.Load() }

// readBody reads a small body whole, or the first part of another one.
func (cr *callerRequest) readBody(ctx context.Context, rc *http.ResponseController, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if d, ok := ctx.Deadline(); ok {
		_ = rc.SetReadDeadline(d)
	}
	var err error
	if r.ContentLength > 0 && r.ContentLength <= maxBufferedBody {
		cr.bufferedBody, err = io.ReadAll(r.Body)
	} else {
		cr.firstChunk = make([]byte, firstChunkSize)
		var n int
		n, err = r.Body.Read(cr.firstChunk)
		cr.firstChunk, cr.remainingBody = cr.firstChunk[:n], r.Body
		if err == io.EOF {
			cr.bufferedBody, cr.firstChunk, cr.remainingBody, err = cr.firstChunk, nil, nil, nil
		}
	}
	if err != nil {
		countDecision("refusedBody")
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return refuse(http.StatusRequestTimeout, "body did not arrive before the deadline")
		}
		return refuse(http.StatusBadRequest, "body: %v", err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	if cr.streamsBody() {
		_ = rc.EnableFullDuplex()
		// Ends a read of the body that outlasts the request.
		cr.stopBodyTimeout = context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	}
	return nil
}

// abortBodyRead makes a read of the body that is still going on return, since the
// server waits for it.
func (cr *callerRequest) abortBodyRead(rc *http.ResponseController) {
	if cr.stopBodyTimeout != nil {
		cr.stopBodyTimeout()
		if !cr.bodyReadEnded.Load() {
			_ = rc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// newUpstreamRequest returns the request for an upstream. Each call gives a body from its
// start; the body of an earlier call must not be read any more, see seal.
func (cr *callerRequest) newUpstreamRequest(up *route.Upstream, remaining clock.Span) (*http.Request, *streamedBody) {
	r := cr.httpRequest
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: string(up.Address), Opaque: "", RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        r.Header.Clone(),
		ContentLength: r.ContentLength,
		Body:          http.NoBody,
	}
	out.URL.RawPath = cr.path
	out.URL.Path, _ = url.PathUnescape(cr.path)
	removeHopHeaders(out.Header)
	out.Header.Del("Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	out.Header.Set(DeadlineHeader, strconv.FormatInt(int64(remaining), 10))
	out.Header.Set(RequestHeader, string(cr.id))
	out.Header.Set(ClassHeader, cr.service.Class.String())
	switch {
	case cr.streamsBody():
		p := &streamedBody{request: cr}
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(cr.firstChunk), p))
		return out, p
	case len(cr.bufferedBody) > 0:
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(cr.bufferedBody)), nil }
		out.Body, _ = out.GetBody()
		out.ContentLength = int64(len(cr.bufferedBody))
	default:
		out.ContentLength = 0
	}
	return out, nil
}

// streamedBody reads the rest of a streamed body for one attempt.
type streamedBody struct {
	request *callerRequest
	state   atomic.Int32
}

const (
	bodyUnread = iota
	bodyOpened
	bodySealed
)

// Read reads from the caller unless the attempt was given up before.
func (p *streamedBody) Read(b []byte) (int, error) {
	if p.state.CompareAndSwap(bodyUnread, bodyOpened) {
		p.request.bodyReadStarted.Store(true)
	} else if p.state.Load() == bodySealed {
		return 0, io.ErrClosedPipe
	}
	n, err := p.request.remainingBody.Read(b)
	if err == io.EOF {
		p.request.bodyReadEnded.Store(true)
	}
	return n, err
}

// seal keeps an attempt that has not read from the caller from doing so later.
func (p *streamedBody) seal() {
	if p != nil {
		p.state.CompareAndSwap(bodyUnread, bodySealed)
	}
}

// splitPath returns the service of /s/{service}/... and the escaped rest, which
// begins with a slash.
func splitPath(r *http.Request) (unit.Service, string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	return unit.Service(name), "/" + path
}

// validateRequest refuses what can't be passed on faithfully.
func validateRequest(r *http.Request) error {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	switch {
	case size > MaxHeaderBytes:
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "header is longer than %d bytes", MaxHeaderBytes)
	case r.Method == http.MethodConnect:
		return refuse(http.StatusMethodNotAllowed, "method CONNECT is not supported")
	case r.Header.Get("Upgrade") != "" || hasToken(r.Header["Connection"], "upgrade"):
		return refuse(http.StatusBadRequest, "protocol upgrades are not supported")
	}
	return nil
}

func requestID(r *http.Request) (unit.Request, error) {
	id := r.Header.Get(RequestHeader)
	if id == "" {
		return unit.Request(uuid.NewString()), nil
	}
	visible := func(c rune) bool { return c > ' ' && c <= '~' }
	if len(id) > maxRequestIDLength || strings.ContainsFunc(id, func(c rune) bool { return !visible(c) }) {
		countDecision("refusedRequest")
		return "", refuse(http.StatusBadRequest, "%s must be 1 to %d visible ASCII characters", RequestHeader, maxRequestIDLength)
	}
	return unit.Request(id), nil
}

func timeoutOf(r *http.Request, maxTimeout clock.Span) (clock.Span, error) {
	values := r.Header.Values(DeadlineHeader)
	if len(values) == 0 {
		return maxTimeout, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || ms < 1 || len(values) > 1 {
		return 0, refuse(http.StatusBadRequest, "%s must be one positive number of milliseconds", DeadlineHeader)
	}
	return min(clock.Span(ms), maxTimeout), nil
}

// callerKey identifies the caller by its credentials, else by its address.
func callerKey(r *http.Request) string {
	if a := r.Header.Get("Authorization"); a != "" {
		return a
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// hopHeaders are for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers that are for one connection only, also those
// that Connection names.
func removeHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func hasToken(values []string, token string) bool {
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(name), token) {
				return true
			}
		}
	}
	return false
}
