package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/load/profile"
	"mimosadock/load/tally"
	"mimosadock/load/target"
)

// Guards against counting an answer as whole although it is truncated, belongs
// to another request or is a refusal.
func TestClassifyAnswers(t *testing.T) {
	tests := map[string]struct {
		answer http.HandlerFunc
		want   tally.Result
	}{
		"body of the request": {want: tally.Whole, answer: func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }},
		"part of the body, complete framing": {want: tally.Wrong, answer: func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(w, r.Body, 20)
		}},
		"truncated": {want: tally.Truncated, answer: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "256")
			_, _ = io.CopyN(w, r.Body, 20)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		"no answer": {want: tally.Lost, answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		"refused": {want: tally.Refused, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdictHeader, "didNotRun")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		"unknown": {want: tally.Unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdictHeader, "mayHaveRun")
			w.WriteHeader(http.StatusBadGateway)
		}},
		"status without verdict": {want: tally.Lost, answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewUnstartedServer(tc.answer)
			srv.Config.ErrorLog = nil
			srv.Start()
			defer srv.Close()
			ring, err := target.New([]string{srv.Listener.Addr().String()})
			is.NoErr(err)
			load, err := parseServiceLoad("lookup:1:0:256", time.Minute)
			is.NoErr(err)
			p := profile.Profile{Rate: 1000, Factor: 1, Duration: time.Second, Total: 1}
			s := newSender(ring, []serviceLoad{load}, p, 1, 1)
			is.NoErr(s.run(context.Background()))
			is.Equal(s.tally.Rows()[0].Results[tc.want], int64(1))
		})
	}
}

// Guards against accepting invalid values of the flag --service.
func TestParseServiceLoad(t *testing.T) {
	tests := map[string]bool{
		"lookup": true, "lookup:0.5": true, "lookup:0.5:20:64": true,
		"": false, "lookup:0": false, "lookup:2": false, "lookup:1:x": false, "lookup:1:1:-1": false, "lookup:1:1:1:1": false,
	}
	for text, ok := range tests {
		t.Run(strings.ReplaceAll(text, ":", "_"), func(t *testing.T) {
			is := is.New(t)
			_, err := parseServiceLoad(text, time.Second)
			is.Equal(err == nil, ok)
		})
	}
}
