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
	"mimosadock/schedule/listener"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Limits of a request, in bytes.
const (
	// MaxHeaderBytes limits the total length of header names and values.
	MaxHeaderBytes     = 32 << 10
	maxRequestIDLength = 128
	// maxBufferedBody is the maximum length of a body that is read completely
	// before a slot is taken. A slow caller then holds no slot and the request
	// can be retried.
	maxBufferedBody = 64 << 10
	firstChunkSize  = 4 << 10
)

// callerRequest is a request of a caller and the state of its attempts.
type callerRequest struct {
	id            unit.Request
	service       *service.Service
	currentTarget atomic.Pointer[route.Target]
	path          string // escaped, as it is sent to the upstream
	httpRequest   *http.Request
	deadline      clock.Millis
	excluded      [route.MaxExcluded]*route.Upstream

	bufferedBody    []byte // the whole body if it is at most maxBufferedBody long
	firstChunk      []byte // the first part of a streamed body
	remainingBody   io.Reader
	bodyReadStarted atomic.Bool // an attempt has read from remainingBody
	bodyReadEnded   atomic.Bool // remainingBody was read to its end
	stopBodyUnblock func() bool // cancels the function that unblocks a pending body read when the context ends
}

// target returns the service and upstreams for the current attempt.
func (cr *callerRequest) target() *route.Target { return cr.currentTarget.Load() }

// refreshTarget updates the target from the newest view, since upstreams may
// have left after an earlier attempt.
func (cr *callerRequest) refreshTarget(v *control.View) {
	if t := v.Routes.Targets[cr.service.Name]; t != nil {
		cr.currentTarget.Store(t)
	}
}

// streamsBody reports whether the body is forwarded while it is being read.
func (cr *callerRequest) streamsBody() bool { return cr.remainingBody != nil }

// isReplayable reports whether the body can be sent again from its start.
func (cr *callerRequest) isReplayable() bool { return !cr.bodyReadStarted.Load() }

// readBody reads a body of at most maxBufferedBody bytes completely. Of a
// longer body or one of unknown length it reads the first chunk and leaves the
// rest to be streamed. The deadline of ctx limits the time.
func (cr *callerRequest) readBody(ctx context.Context, rc *http.ResponseController, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if d, ok := ctx.Deadline(); ok {
		_ = rc.SetReadDeadline(d)
	}
	var err error
	if r.ContentLength > 0 && r.ContentLength <= maxBufferedBody {
		err = cr.readBuffered(r)
	} else {
		cr.firstChunk = make([]byte, firstChunkSize)
		var n int
		n, err = r.Body.Read(cr.firstChunk)
		cr.firstChunk, cr.remainingBody = cr.firstChunk[:n], r.Body
		if err == io.EOF {
			cr.bufferedBody, cr.firstChunk, cr.remainingBody, err = cr.firstChunk, nil, nil, nil
		}
		listener.Stream(r)
	}
	if err != nil {
		countDecision("refusedBody")
		return refusedBody(err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	if cr.streamsBody() {
		_ = rc.EnableFullDuplex()
		// Unblock a read of the body that is still pending when the request ends.
		cr.stopBodyUnblock = context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	}
	return nil
}

// readBuffered reads a whole body, which is kept for retries.
func (cr *callerRequest) readBuffered(r *http.Request) error {
	err := listener.ReadBody(r, maxBufferedBody, func(body []byte) error {
		cr.bufferedBody = bytes.Clone(body)
		return nil
	})
	if err != nil {
		return err
	}
	return listener.Keep(r, unit.Bytes(len(cr.bufferedBody)))
}

// refusedBody returns the refusal of a request whose body was not read.
func refusedBody(err error) error {
	switch {
	case errors.Is(err, listener.ErrNoRoom):
		return refuseWithRetry(http.StatusServiceUnavailable, drainRetryAfter, err.Error())
	case errors.Is(err, listener.ErrTooSlow):
		return refuse(http.StatusRequestTimeout, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, "body did not arrive before the deadline")
	}
	return refuse(http.StatusBadRequest, "body: %v", err)
}

// abortBodyRead unblocks a pending read of the body, because the HTTP server
// waits for it before it ends the request.
func (cr *callerRequest) abortBodyRead(rc *http.ResponseController) {
	if cr.stopBodyUnblock != nil {
		cr.stopBodyUnblock()
		if !cr.bodyReadEnded.Load() {
			_ = rc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// newUpstreamRequest returns the request for an attempt on up, with a body that
// begins at its start. The body of an earlier attempt must no longer be read,
// see [streamedBody.seal]. The streamedBody is nil if the body isn't streamed.
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
		out.Header.Set("User-Agent", "") // prevents net/http from adding its default
	}
	out.Header.Set(DeadlineHeader, strconv.FormatInt(int64(remaining), 10))
	out.Header.Set(RequestHeader, string(cr.id))
	out.Header.Set(ClassHeader, cr.service.Class.String())
	switch {
	case cr.streamsBody():
		body := &streamedBody{request: cr}
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(cr.firstChunk), body))
		return out, body
	case len(cr.bufferedBody) > 0:
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(cr.bufferedBody)), nil }
		out.Body, _ = out.GetBody()
		out.ContentLength = int64(len(cr.bufferedBody))
	default:
		out.ContentLength = 0
	}
	return out, nil
}

// streamedBody reads the remaining body of a request for one attempt. Its state
// is bodyUnread, bodyOpened or bodySealed.
type streamedBody struct {
	request *callerRequest
	state   atomic.Int32
}

// States of a streamedBody.
const (
	bodyUnread = iota
	bodyOpened
	bodySealed
)

// Read reads from the caller. It fails with io.ErrClosedPipe if the body was
// sealed.
func (sb *streamedBody) Read(b []byte) (int, error) {
	if sb.state.CompareAndSwap(bodyUnread, bodyOpened) {
		sb.request.bodyReadStarted.Store(true)
	} else if sb.state.Load() == bodySealed {
		return 0, io.ErrClosedPipe
	}
	n, err := sb.request.remainingBody.Read(b)
	if err == io.EOF {
		sb.request.bodyReadEnded.Store(true)
	}
	return n, err
}

// seal prevents an attempt that has not read from the caller yet from reading
// later. It has no effect on nil.
func (sb *streamedBody) seal() {
	if sb != nil {
		sb.state.CompareAndSwap(bodyUnread, bodySealed)
	}
}

// splitPath splits a path /s/{service}/... into the service and the escaped
// remaining path, which begins with a slash.
func splitPath(r *http.Request) (unit.Service, string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	return unit.Service(name), "/" + path
}

// validateRequest refuses requests that can't be forwarded unchanged: a header
// over MaxHeaderBytes, CONNECT and protocol upgrades.
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

// requestID returns the ID that the caller sent, or a new one.
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

// timeoutOf returns the timeout that the caller sent, limited to maxTimeout, or
// maxTimeout if there is none.
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

// callerKey returns the key of the caller for its limits: the credentials, or
// the IP address if there are none.
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

// hopHeaders are the headers that apply to one connection only (RFC 9110,
// section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers that apply to one connection only,
// including those that the Connection header lists.
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

// hasToken reports whether one of the comma-separated values contains token, in
// any case.
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
