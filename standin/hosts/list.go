package hosts

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/verdict"
)

var _ member.Lister = (*List)(nil)

// version is the list that was set at an instant.
type version struct {
	setAt clock.Millis
	rows  []member.Listing
}

// List is the list of hosts. The zero value is an empty list without lag that
// is ready to use. List is safe for concurrent use.
type List struct {
	Clock clock.Clock // nil is the system clock

	mu          sync.Mutex
	versions    []version
	lag         clock.Span // age of the returned list
	refuseCalls bool
	answerEmpty bool
}

// Set replaces the list. Readers receive the new list after the lag.
func (l *List) Set(rows []member.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{setAt: l.now(), rows: slices.Clone(rows)})
}

// SetFailures sets the age of the returned list, whether calls are refused and
// whether the returned list is empty. It replaces the previous settings.
func (l *List) SetFailures(lag clock.Span, refuse, empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag, l.refuseCalls, l.answerEmpty = lag, refuse, empty
}

// List returns the list of one lag ago, which is empty if none was set by then.
// It returns an error if calls are refused.
func (l *List) List(context.Context) ([]member.Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuseCalls {
		return nil, verdict.Refuse("host list refuses calls")
	}
	if l.answerEmpty {
		return nil, nil
	}
	visibleAt := l.now().Add(-l.lag)
	for i := len(l.versions) - 1; i >= 0; i-- {
		if l.versions[i].setAt <= visibleAt {
			return slices.Clone(l.versions[i].rows), nil
		}
	}
	return nil, nil
}

func (l *List) now() clock.Millis {
	if l.Clock == nil {
		return clock.System{}.Now()
	}
	return l.Clock.Now()
}

// Handler serves the list. GET /hosts answers with a JSON array of
// [member.Listing], or with 503 if calls are refused.
func Handler(l *List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		rows, err := l.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if rows == nil {
			rows = []member.Listing{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(rows)
	})
	return mux
}

// maxBodyBytes bounds the body of a request to [Control].
const maxBodyBytes = 4 << 20

// Control serves the operator's requests: PUT /hosts sets the list, and
// PUT /hosts/failures sets the failures as {"lagMs":N,"refuse":B,"empty":B}.
// Bodies with other fields are answered with 400.
func Control(l *List) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		if rows, ok := decode[[]member.Listing](w, r); ok {
			l.Set(rows)
		}
	})
	mux.HandleFunc("PUT /hosts/failures", func(w http.ResponseWriter, r *http.Request) {
		type failures struct {
			Lag    clock.Span `json:"lagMs"`
			Refuse bool       `json:"refuse"`
			Empty  bool       `json:"empty"`
		}
		if f, ok := decode[failures](w, r); ok {
			l.SetFailures(f.Lag, f.Refuse, f.Empty)
		}
	})
	return mux
}

// decode decodes the JSON body of r. If it is malformed, too large or has
// unknown fields, decode answers with 400 and returns false.
func decode[V any](w http.ResponseWriter, r *http.Request) (V, bool) {
	var v V
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}
