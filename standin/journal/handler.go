package journal

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Limits of the answer to a read.
const (
	maxReadEntries = 4096
	maxReadBytes   = 4 << 20
	maxWait        = 30 * clock.Second
)

// bodyTimeout bounds the time in which a client must send an entry.
const bodyTimeout = 10 * time.Second

// entryHeaderBytes is the size of the length field before each entry.
const entryHeaderBytes = 4

// Handler serves m as the only topic of the platform's store:
//
//	POST /-/log-append                 The body is one entry, preceded by its
//	                                   length.
//	                                   The answer is {"offset":N}.
//	GET  /-/log-read?from=N&wait_ms=N  The answer is the end offset and the first
//	                                   offset, 8 bytes each, and the entries,
//	                                   each preceded by its length.
//
// Lengths have 4 bytes; all numbers are big-endian. Refused calls are answered
// with 503, expired offsets with 410 and the first offset, and entries that are
// too large with 413. A call whose answer is lost ends its connection.
func Handler(m *Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", func(w http.ResponseWriter, r *http.Request) { serveAppend(m, w, r) })
	mux.HandleFunc("GET /-/log-read", func(w http.ResponseWriter, r *http.Request) { serveRead(m, w, r) })
	return mux
}

func serveAppend(m *Memory, w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, entryHeaderBytes+int64(journal.MaxEntryBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = journal.ErrTooLarge
	} else if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err == nil && (len(data) < entryHeaderBytes || len(data)-entryHeaderBytes != int(binary.BigEndian.Uint32(data))) {
		http.Error(w, "body must be one record behind its length", http.StatusBadRequest)
		return
	}
	var offset unit.Offset
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		offset, err = m.Append(r.Context(), data[entryHeaderBytes:])
	}
	respond(w, map[string]unit.Offset{"offset": offset}, err)
}

func serveRead(m *Memory, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, err2 := strconv.ParseInt("0"+q.Get("wait_ms"), 10, 64)
	if err := errors.Join(err1, err2); err != nil {
		http.Error(w, "from and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	page, err := m.Follow(r.Context(), unit.Offset(from), maxReadEntries, min(clock.Span(wait), maxWait))
	bounds, boundsErr := m.Bounds(r.Context())
	if errors.Is(err, journal.ErrExpired) && boundsErr == nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]unit.Offset{"first_offset": bounds.First}) // fails if the client has disconnected
		return
	}
	if err := errors.Join(err, boundsErr); err != nil {
		respond(w, nil, err)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.Next))
	body = binary.BigEndian.AppendUint64(body, uint64(bounds.First))
	for _, e := range page.Entries {
		if len(body)+len(e.Data) > maxReadBytes {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(e.Data)))
		body = append(body, e.Data...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // fails if the client has disconnected
}

// respond writes the answer to a call, or the status for its error. It ends the
// connection without an answer if the call may have taken effect.
func respond(w http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	case errors.Is(err, journal.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case verdict.Of(err) == verdict.DidNotRun:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

// status is the body of answers and requests of [Control].
type status struct {
	Retention *Retention     `json:"retention,omitempty"`
	Failures  *Failures      `json:"failures,omitempty"`
	Bounds    journal.Bounds `json:"bounds"`
	Counts    Counts         `json:"counts"`
}

// Control serves the operator's requests: GET /journal answers with the
// retention, failures, bounds and counts of m. PUT /journal sets the retention
// and the failures if its body has them, and gives the same answer.
func Control(m *Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) { respond(w, m.status(), nil) })
	mux.HandleFunc("PUT /journal", func(w http.ResponseWriter, r *http.Request) {
		var s status
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)) // at most 64 KiB
		dec.DisallowUnknownFields()
		if err := dec.Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if s.Retention != nil {
			m.SetRetention(*s.Retention)
		}
		if s.Failures != nil {
			m.SetFailures(*s.Failures)
		}
		respond(w, m.status(), nil)
	})
	return mux
}

func (m *Memory) status() status {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	r, f := m.retention, m.failures
	return status{Retention: &r, Failures: &f, Bounds: journal.Bounds{First: m.first, Next: m.nextOffset()}, Counts: m.counts}
}
