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
	maxBodyBytes     = service.MaxTextBytes + 1<<16
	requestTimeout   = 15 * time.Second
	ratePerSecond    = 20 // requests of one token
	rateBurst        = 40
	maxRateRows      = 4096 // tokens whose rate is remembered
	failureRateToken = "unauthenticated"
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
	Bootstrap service.TokenHash // operator token of the settings, may be empty

	mu    sync.Mutex
	rates map[string]*rate
}

// action answers one authenticated request with a value to encode.
type action func(ctx context.Context, p principal, r *http.Request) (any, error)

// Handler returns the mux of the interface.
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

func operatorsOnly(a action) action {
	return func(ctx context.Context, p principal, r *http.Request) (any, error) {
		if !p.operator {
			return nil, refuse(http.StatusForbidden, "use an operator's token", "only operators may do this")
		}
		return a(ctx, p, r)
	}
}

func (s *Server) handle(a action) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		p, ok := authenticate(r, s.Backend.Text(), s.Bootstrap)
		key := p.name()
		if !ok {
			key = failureRateToken
		}
		if !s.allow(key) {
			limited.Add(1)
			writeError(w, refuse(http.StatusTooManyRequests, "slow down", "more than %d requests a second", ratePerSecond))
			return
		}
		if !ok {
			denied.Add(1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, refuse(http.StatusUnauthorized, "send a bearer token that the services text lists", "no valid token"))
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

// rate is the token bucket of one bearer token.
type rate struct {
	tokens float64
	at     clock.Millis
}

func (s *Server) allow(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	b := s.rates[key]
	if b == nil {
		if s.rates == nil || len(s.rates) >= maxRateRows {
			s.rates = make(map[string]*rate)
		}
		b = &rate{tokens: rateBurst, at: now}
		s.rates[key] = b
	}
	b.tokens = min(rateBurst, b.tokens+float64(now.Sub(b.at))*ratePerSecond/float64(clock.Second))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// decode reads the body of r into dst. Unknown fields are refused.
func decode(r *http.Request, dst any) error {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, "send less", "body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return refuse(http.StatusBadRequest, "send the request again", "body broke off")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return refuse(http.StatusBadRequest, "correct the JSON body", "body: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return refuse(http.StatusBadRequest, "send one JSON value", "body has data after the JSON value")
	}
	return nil
}
