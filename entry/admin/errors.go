package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// ErrNotFound is returned by a [Backend] for an unknown name.
var ErrNotFound = &verdict.Error{Verdict: verdict.DidNotRun, Reason: "not found"}

// ErrUnavailable is returned by a [Backend] that temporarily can't carry out a
// request, for example because the journal is down.
var ErrUnavailable = errors.New("admin: unavailable")

// problem is the body of an error response.
type problem struct {
	Verdict       verdict.Verdict `json:"verdict"`
	Reason        string          `json:"reason"`
	Next          string          `json:"next,omitempty"` // recommended action of the client
	RetryAfterMs  clock.Span      `json:"retryAfterMs,omitempty"`
	Faults        service.Faults  `json:"faults,omitempty"`
	NewerRevision unit.Revision   `json:"newerRevision,omitempty"`
	Diff          string          `json:"diff,omitempty"`
}

// statusError is an error with an HTTP status and a recommended action.
type statusError struct {
	status int
	next   string
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

// newStatusError returns a statusError with the verdict DidNotRun.
func newStatusError(status int, next, format string, args ...any) error {
	return &statusError{status, next, verdict.Refuse(format, args...)}
}

// writeError writes err as a problem with the status from classify.
func writeError(w http.ResponseWriter, err error) {
	status, p := classify(err)
	if p.RetryAfterMs > 0 {
		w.Header().Set("Retry-After-Ms", strconv.FormatInt(int64(p.RetryAfterMs), 10))
	}
	w.Header().Set("Mimosa-Verdict", p.Verdict.String())
	writeJSON(w, status, p)
}

// classify maps an error to an HTTP status and a problem.
func classify(err error) (int, problem) {
	p := problem{Verdict: verdict.Of(err), Reason: err.Error()}
	var ve *verdict.Error
	if errors.As(err, &ve) {
		p.Reason, p.RetryAfterMs = ve.Reason, ve.RetryAfter
	}
	var (
		se       *statusError
		faults   service.Faults
		conflict *Conflict
	)
	switch {
	case errors.As(err, &se):
		p.Next = se.next
		return se.status, p
	case errors.As(err, &faults):
		p.Verdict, p.Reason, p.Faults = verdict.DidNotRun, "the services text has faults", faults
		p.Next = "correct the lines named and try again"
		return http.StatusUnprocessableEntity, p
	case errors.As(err, &conflict):
		p.Verdict, p.Reason = verdict.DidNotRun, conflict.Error()
		p.NewerRevision, p.Diff = conflict.Newer, conflict.Diff
		p.Next = "fetch the newer revision, merge the change and apply it again"
		return http.StatusConflict, p
	case errors.Is(err, ErrNotFound):
		p.Next = "check the name; what belongs to another team is not shown"
		return http.StatusNotFound, p
	case errors.Is(err, ErrUnavailable):
		p.Next = "try again later"
		return http.StatusServiceUnavailable, p
	case p.Verdict == verdict.DidNotRun:
		p.Next = "correct the request"
		return http.StatusUnprocessableEntity, p
	default:
		p.Next = "read the state before trying again; the request may have taken effect"
		return http.StatusBadGateway, p
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(v)
}
