package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"sync"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
)

// Limits of the interface.
const (
	maxBodyBytes       = service.MaxTextBytes + 1<<16
	requestTimeout     = 15 * time.Second
	ratePerSecond      = 20 // sustained requests per second with one bearer token
	rateBurst          = 40
	maxBuckets         = 4096 // number of rate limits in memory; when it is reached, a new one resets all others
	unauthenticatedKey = "unauthenticated"
)

var (
	requests = expvar.NewInt("admin.requests")
	denied   = expvar.NewInt("admin.denied")
	limited  = expvar.NewInt("admin.rateLimited")
)

// Server serves the administration interface. Backend and Clock must be set.
type Server struct {
	Backend   Backend
	Clock     clock.Clock
	Bootstrap service.TokenHash // operator token of the settings, empty if there is none

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// action handles one authenticated request and returns the value to encode.
type action func(ctx context.Context, p principal, r *http.Request) (any, error)

// Handler returns the handler of all routes of the interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, a := range s.operatorActions() {
		mux.Handle(pattern, s.handle(operatorsOnly(a)))
	}
	for pattern, a := range s.teamActions() {
		mux.Handle(pattern, s.handle(a))
	}
	return mux
}

// operatorsOnly returns an action that refuses requests of teams.
func operatorsOnly(a action) action {
	return func(ctx context.Context, p principal, r *http.Request) (any, error) {
		if !p.operator {
			return nil, newStatusError(http.StatusForbidden, "use an operator's token", "only operators may do this")
		}
		return a(ctx, p, r)
	}
}

// handle returns a handler that authenticates a request, applies the rate limit,
// runs the action and encodes its result. All requests without a valid token
// share one rate limit.
func (s *Server) handle(a action) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		p, ok := authenticate(r, s.Backend.Text(), s.Bootstrap)
		key := p.author()
		if !ok {
			key = unauthenticatedKey
		}
		if !s.allow(key) {
			limited.Add(1)
			writeError(w, newStatusError(http.StatusTooManyRequests, "slow down", "more than %d requests a second", ratePerSecond))
			return
		}
		if !ok {
			denied.Add(1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, newStatusError(http.StatusUnauthorized, "send a bearer token that the services text lists", "no valid token"))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		v, err := a(ctx, p, r)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	})
}

// tokenBucket is the rate limit of one author, or of all requests without a
// valid bearer token.
type tokenBucket struct {
	tokens     float64
	refilledAt clock.Millis
}

// allow takes a token from the bucket of key. It returns false if the bucket is
// empty.
func (s *Server) allow(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	b := s.buckets[key]
	if b == nil {
		if s.buckets == nil || len(s.buckets) >= maxBuckets {
			s.buckets = make(map[string]*tokenBucket)
		}
		b = &tokenBucket{tokens: rateBurst, refilledAt: now}
		s.buckets[key] = b
	}
	b.tokens = min(rateBurst, b.tokens+float64(now.Sub(b.refilledAt))*ratePerSecond/float64(clock.Second))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// decode decodes the body of r, one JSON value, into dst. Unknown fields are
// refused.
func decode(r *http.Request, dst any) error {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newStatusError(http.StatusRequestEntityTooLarge, "send less", "body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return newStatusError(http.StatusBadRequest, "send the request again", "body broke off")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return newStatusError(http.StatusBadRequest, "correct the JSON body", "body: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return newStatusError(http.StatusBadRequest, "send one JSON value", "body has data after the JSON value")
	}
	return nil
}
