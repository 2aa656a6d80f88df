package front

import (
	"io"
	"net/http"
	"sync"
	"time"

	"mimosadock/schedule/service"
)

const bufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// stream copies the answer to the caller and gives the slot back. An answer
// that breaks off, or a caller that does not take it, gives errCut.
func (f *Front) stream(w http.ResponseWriter, rc *http.ResponseController, j *job, res *result) error {
	defer res.resp.Body.Close()
	defer rc.SetWriteDeadline(time.Time{})
	h := w.Header()
	for k, v := range res.resp.Header {
		h[k] = v
	}
	removeHop(h)
	// These headers are the system's own; an upstream must not speak for it.
	h.Del(LoadHeader)
	h.Del(VerdictHeader)
	h.Del(RetryAfterHeader)
	h.Set(RequestHeader, string(j.id))
	w.WriteHeader(res.resp.StatusCode)
	flush := res.resp.ContentLength < 0
	if flush && j.service.Class == service.Long {
		_ = rc.Flush() // the first part of the body may come much later
	}
	fromUpstream, toCaller := f.copyBody(w, rc, j, res.resp.Body, flush)
	if fromUpstream == nil && toCaller == nil {
		res.hold.release()
		count("answered")
		return nil
	}
	count("answersCut")
	if fromUpstream != nil {
		f.failed(j, res.hold.upstream, res.started, fromUpstream)
	}
	res.resp.Body.Close()
	res.hold.releaseAfter(fromUpstream, j.deadline)
	return errCut
}

// copyBody returns the error of either side.
func (f *Front) copyBody(w io.Writer, rc *http.ResponseController, j *job, body io.Reader, flush bool) (fromUpstream, toCaller error) {
	if body == http.NoBody {
		return nil, nil
	}
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		if n > 0 {
			left := min(stall, j.deadline.Sub(f.Clock.Now()))
			_ = rc.SetWriteDeadline(time.Now().Add(left.Duration()))
			if _, werr := w.Write(buf[:n]); werr != nil {
				return nil, werr
			}
			if flush {
				if werr := rc.Flush(); werr != nil {
					return nil, werr
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
