package rig

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
)

// Limits of the store, by the settings.
const (
	recordBytes  = 262144
	requestBytes = 2097152
)

// limitedStore returns the address of a front of the store that refuses appends
// above the limits, as the store of the pages takes no larger ones.
func (r *rig) limitedStore() string {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if size := largestRecord(body); strings.HasSuffix(q.URL.Path, "/log-append") && (size > recordBytes || len(body) > requestBytes) {
			r.log.printf("the store refuses an append of %d bytes, its largest record has %d", len(body), size)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		to, err := http.NewRequestWithContext(q.Context(), q.Method, "http://"+r.store.Address()+q.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		to.Header = q.Header
		resp, err := transport.RoundTrip(to)
		if err != nil {
			panic(http.ErrAbortHandler) // the caller has left
		}
		defer func() { _ = resp.Body.Close() }()
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	return s.Listener.Addr().String()
}

// largestRecord returns the length of the largest record in the body of an append.
func largestRecord(b []byte) int {
	largest := 0
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		largest = max(largest, n)
		b = b[min(4+n, len(b)):]
	}
	return largest
}
