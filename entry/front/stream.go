package front

import (
	"io"
	"net/http"
	"sync"
	"time"

	"mimosadock/schedule/service"
)

const copyBufferSize = 32 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// streamResponse copies the response to the caller and releases the slot. It
// returns errTruncated if the response ends early or the caller doesn't accept
// it.
func (f *Front) streamResponse(w http.ResponseWriter, rc *http.ResponseController, cr *callerRequest, res *attemptResult) error {
	defer res.resp.Body.Close()
	defer rc.SetWriteDeadline(time.Time{})
	removeHopHeaders(res.resp.Header)
	h := w.Header() // may say that the connection is to be closed
	for k, v := range res.resp.Header {
		h[k] = v
	}
	// Only the system itself may set these headers, not an upstream.
	h.Del(LoadHeader)
	h.Del(VerdictHeader)
	h.Del(RetryAfterHeader)
	h.Set(RequestHeader, string(cr.id))
	w.WriteHeader(res.resp.StatusCode)
	flush := res.resp.ContentLength < 0
	if flush && cr.service.Class == service.Long {
		_ = rc.Flush() // the first part of the body may arrive much later
	}
	upstreamErr, callerErr := f.copyBody(w, rc, cr, res.resp.Body, flush)
	if upstreamErr == nil && callerErr == nil {
		res.slot.release()
		countDecision("answered")
		return nil
	}
	countDecision("answersCut")
	if upstreamErr != nil {
		f.reportFailure(cr, res.slot.upstream, res.startedAt, upstreamErr)
	}
	res.resp.Body.Close()
	res.slot.releaseAfter(upstreamErr, cr.deadline)
	return errTruncated
}

// copyBody copies the body to w and flushes after each read if flush is set. It
// returns the error of the upstream or of the caller, at most one of them.
func (f *Front) copyBody(w io.Writer, rc *http.ResponseController, cr *callerRequest, body io.Reader, flush bool) (upstreamErr, callerErr error) {
	if body == http.NoBody {
		return nil, nil
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			timeout := min(callerWriteTimeout, cr.deadline.Sub(f.Clock.Now()))
			_ = rc.SetWriteDeadline(time.Now().Add(timeout.Duration()))
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return nil, writeErr
			}
			if flush {
				if writeErr := rc.Flush(); writeErr != nil {
					return nil, writeErr
				}
			}
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
