package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"mimosadock/entry/pool"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// errTruncated reports that a response ended early after its head had been
// forwarded to the caller.
var errTruncated = errors.New("response was truncated")

// refusal is an error that determines the HTTP status of the response.
type refusal struct {
	status int
	err    *verdict.Error
}

// Error returns the text of the verdict.
func (r *refusal) Error() string { return r.err.Error() }

// Unwrap returns the verdict.
func (r *refusal) Unwrap() error { return r.err }

// refuse returns a refusal with the given HTTP status and reason.
func refuse(status int, format string, args ...any) error {
	return &refusal{status, verdict.Refuse(format, args...)}
}

// refuseWithRetry returns a refusal that requests the caller to retry after the
// given time.
func refuseWithRetry(status int, after clock.Span, reason string) error {
	e := verdict.Refuse("%s", reason)
	e.RetryAfter = after
	return &refusal{status, e}
}

// errorResponse is the JSON body of the responses that the system generates.
type errorResponse struct {
	Verdict      verdict.Verdict `json:"verdict"`
	Reason       string          `json:"reason"`
	RetryAfterMs clock.Span      `json:"retryAfterMs,omitempty"`
	RequestID    unit.Request    `json:"requestId"`
}

// statusOf returns the HTTP status for an error. The default is 502.
func statusOf(err error) int {
	var ref *refusal
	var body *pool.BodyError
	switch {
	case errors.As(err, &ref):
		return ref.status
	case errors.As(err, &body):
		return http.StatusBadRequest
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	case verdict.Of(err) == verdict.DidNotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeError writes the response for err: the status, the verdict and retry
// headers, and an errorResponse as the body.
func writeError(w http.ResponseWriter, id unit.Request, err error) {
	a := errorResponse{Verdict: verdict.Of(err), Reason: "upstream failed", RequestID: id}
	var ve *verdict.Error
	if errors.As(err, &ve) {
		a.Reason, a.RetryAfterMs = ve.Reason, ve.RetryAfter
		if ve.Err != nil {
			a.Reason = fmt.Sprintf("%s: %v", ve.Reason, ve.Err)
		}
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(VerdictHeader, a.Verdict.String())
	if a.RetryAfterMs > 0 {
		h.Set(RetryAfterHeader, strconv.FormatInt(int64(a.RetryAfterMs), 10))
	}
	w.WriteHeader(statusOf(err))
	_ = json.NewEncoder(w).Encode(a)
}
