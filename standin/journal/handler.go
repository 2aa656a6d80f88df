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

// Limits of one answer.
const (
	maxReadLimit = 4096
	maxReadBytes = 4 << 20
	maxWait      = 30 * clock.Second
)

// EndHeader names the header with the position of the next append.
const EndHeader = "Mimosa-End"

// bodyTimeout bounds how long a client may take to send an entry.
const bodyTimeout = 10 * time.Second

// Handler serves m over HTTP:
//
//	POST /append                          body is the entry; {"offset":N}
//	GET  /entries?from=N&limit=N&waitMs=N the entries, each behind its length as
//	                                      an unsigned varint; Mimosa-End: N
//	GET  /bounds                          {"first":N,"next":N}
//
// Refused calls are answered with 503 and the verdict in Mimosa-Verdict,
// expired offsets with 410, entries that are too large with 413. A call whose
// answer is lost ends its connection.
func Handler(m *Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /append", func(w http.ResponseWriter, r *http.Request) { serveAppend(m, w, r) })
	mux.HandleFunc("GET /entries", func(w http.ResponseWriter, r *http.Request) { serveEntries(m, w, r) })
	mux.HandleFunc("GET /bounds", func(w http.ResponseWriter, r *http.Request) {
		b, err := m.Bounds(r.Context())
		respond(w, map[string]unit.Offset{"first": b.First, "next": b.Next}, err)
	})
	return mux
}

func serveAppend(m *Memory, w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(journal.MaxEntryBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = journal.ErrTooLarge
	} else if err != nil {
		panic(http.ErrAbortHandler)
	}
	var offset unit.Offset
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		offset, err = m.Append(r.Context(), data)
	}
	respond(w, map[string]unit.Offset{"offset": offset}, err)
}

func serveEntries(m *Memory, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	wait, err3 := strconv.ParseInt("0"+q.Get("waitMs"), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil || limit < 1 {
		http.Error(w, "from, limit and waitMs must be numbers, limit at least 1", http.StatusBadRequest)
		return
	}
	page, err := m.Follow(r.Context(), unit.Offset(from), min(limit, maxReadLimit), min(clock.Span(wait), maxWait))
	if err != nil {
		respond(w, nil, err)
		return
	}
	var body []byte
	for _, e := range page.Entries {
		if len(body)+len(e.Data) > maxReadBytes {
			break
		}
		body = binary.AppendUvarint(body, uint64(len(e.Data)))
		body = append(body, e.Data...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(EndHeader, strconv.FormatUint(uint64(page.End), 10))
	_, _ = w.Write(body)
}

// respond writes the answer to a call that ended with err.
func respond(w http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	case errors.Is(err, journal.ErrExpired):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, journal.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case verdict.Of(err) == verdict.DidNotRun:
		w.Header().Set("Mimosa-Verdict", verdict.DidNotRun.String())
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

// status is what the control handler shows and takes.
type status struct {
	Retention *Retention     `json:"retention,omitempty"`
	Failures  *Failures      `json:"failures,omitempty"`
	Bounds    journal.Bounds `json:"bounds"`
	Counts    Counts         `json:"counts"`
}

// Control serves the switches of m: GET /journal shows them, PUT /journal sets
// those that its body names.
func Control(m *Memory) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) { respond(w, m.status(), nil) })
	mux.HandleFunc("PUT /journal", func(w http.ResponseWriter, r *http.Request) {
		var s status
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
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
	return status{Retention: &r, Failures: &f, Bounds: journal.Bounds{First: m.first, Next: m.next()}, Counts: m.counts}
}
