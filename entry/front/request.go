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
	// MaxHeader bounds the header of a request in bytes, names and values.
	MaxHeader = 32 << 10
	maxID     = 128
	// smallBody is the longest body that is read before a slot is taken, so
	// that a slow caller holds none and the request can be repeated.
	smallBody = 64 << 10
	firstPart = 4 << 10
)

// job is one request of a caller.
type job struct {
	id       unit.Request
	service  *service.Service
	current  atomic.Pointer[route.Target]
	path     string // escaped, as the upstream gets it
	request  *http.Request
	deadline clock.Millis
	except   [route.MaxExcept]*route.Upstream

	small  []byte // the whole body, if it is small
	first  []byte // the first part of a body that streams
	rest   io.Reader
	opened atomic.Bool // the rest was read from
	ended  atomic.Bool // the rest was read to its end
	stop   func() bool
}

// target returns the upstreams for the current attempt.
func (j *job) target() *route.Target { return j.current.Load() }

// renew takes the upstreams from the newest view: some may have left since an
// earlier attempt.
func (j *job) renew(v *control.View) {
	if t := v.Routes.Targets[j.service.Name]; t != nil {
		j.current.Store(t)
	}
}

// streams reports whether the body is sent while it is read.
func (j *job) streams() bool { return j.rest != nil }

// replayable reports whether the body can be sent from its start.
func (j *job) replayable() bool { return !j.opened.Load() }

// takeBody reads a small body whole, or the first part of another one.
func (j *job) takeBody(ctx context.Context, rc *http.ResponseController, r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if d, ok := ctx.Deadline(); ok {
		_ = rc.SetReadDeadline(d)
	}
	var err error
	if r.ContentLength > 0 && r.ContentLength <= smallBody {
		j.small, err = io.ReadAll(r.Body)
	} else {
		j.first = make([]byte, firstPart)
		var n int
		n, err = r.Body.Read(j.first)
		j.first, j.rest = j.first[:n], r.Body
		if err == io.EOF {
			j.small, j.first, j.rest, err = j.first, nil, nil, nil
		}
	}
	if err != nil {
		count("refusedBody")
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return refuse(http.StatusRequestTimeout, "body did not arrive before the deadline")
		}
		return refuse(http.StatusBadRequest, "body: %v", err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	if j.streams() {
		_ = rc.EnableFullDuplex()
		// Ends a read of the body that outlasts the request.
		j.stop = context.AfterFunc(ctx, func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	}
	return nil
}

// endBody makes a read of the body that is still going on return, since the
// server waits for it.
func (j *job) endBody(rc *http.ResponseController) {
	if j.stop != nil {
		j.stop()
		if !j.ended.Load() {
			_ = rc.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// outgoing returns the request for an upstream. Each call gives a body from its
// start; the body of an earlier call must not be read any more, see seal.
func (j *job) outgoing(up *route.Upstream, remaining clock.Span) (*http.Request, *part) {
	r := j.request
	out := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Scheme: "http", Host: string(up.Address), Opaque: "", RawQuery: r.URL.RawQuery},
		Host:          r.Host,
		Header:        r.Header.Clone(),
		ContentLength: r.ContentLength,
		Body:          http.NoBody,
	}
	out.URL.RawPath = j.path
	out.URL.Path, _ = url.PathUnescape(j.path)
	removeHop(out.Header)
	out.Header.Del("Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	out.Header.Set(DeadlineHeader, strconv.FormatInt(int64(remaining), 10))
	out.Header.Set(RequestHeader, string(j.id))
	out.Header.Set(ClassHeader, j.service.Class.String())
	switch {
	case j.streams():
		p := &part{job: j}
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(j.first), p))
		return out, p
	case len(j.small) > 0:
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(j.small)), nil }
		out.Body, _ = out.GetBody()
		out.ContentLength = int64(len(j.small))
	default:
		out.ContentLength = 0
	}
	return out, nil
}

// part reads the rest of a streamed body for one attempt.
type part struct {
	job   *job
	state atomic.Int32
}

const (
	partFresh = iota
	partOpened
	partSealed
)

// Read reads from the caller unless the attempt was given up before.
func (p *part) Read(b []byte) (int, error) {
	if p.state.CompareAndSwap(partFresh, partOpened) {
		p.job.opened.Store(true)
	} else if p.state.Load() == partSealed {
		return 0, io.ErrClosedPipe
	}
	n, err := p.job.rest.Read(b)
	if err == io.EOF {
		p.job.ended.Store(true)
	}
	return n, err
}

// seal keeps an attempt that has not read from the caller from doing so later.
func (p *part) seal() {
	if p != nil {
		p.state.CompareAndSwap(partFresh, partSealed)
	}
}

// splitPath returns the service of /s/{service}/... and the escaped rest, which
// begins with a slash.
func splitPath(r *http.Request) (unit.Service, string) {
	rest := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix)
	name, path, _ := strings.Cut(rest, "/")
	return unit.Service(name), "/" + path
}

// checkRequest refuses what can't be passed on faithfully.
func checkRequest(r *http.Request) error {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	switch {
	case size > MaxHeader:
		return refuse(http.StatusRequestHeaderFieldsTooLarge, "header is longer than %d bytes", MaxHeader)
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
	if len(id) > maxID || strings.ContainsFunc(id, func(c rune) bool { return !visible(c) }) {
		count("refusedRequest")
		return "", refuse(http.StatusBadRequest, "%s must be 1 to %d visible ASCII characters", RequestHeader, maxID)
	}
	return unit.Request(id), nil
}

func deadlineOf(r *http.Request, longest clock.Span) (clock.Span, error) {
	values := r.Header.Values(DeadlineHeader)
	if len(values) == 0 {
		return longest, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || ms < 1 || len(values) > 1 {
		return 0, refuse(http.StatusBadRequest, "%s must be one positive number of milliseconds", DeadlineHeader)
	}
	return min(clock.Span(ms), longest), nil
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

// removeHop removes the headers that are for one connection only, also those
// that Connection names.
func removeHop(h http.Header) {
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
