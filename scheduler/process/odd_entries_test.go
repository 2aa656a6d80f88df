package process

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosadock/standin/fleet"
)

// oddEntries returns entries of the list of executors that name no executor to
// use, by key. Those that have a usable address have the given one.
func oddEntries(address string) map[string]string {
	entry := func(from, to string) string {
		good := `{"service":"s","address":"` + address + `","zone":"a","state":"ready","capacity":{"cpu":8000,"mem_mb":16000},"labels":["a","r1"],"born":1700000000000,"clock_ms":1}`
		return strings.Replace(good, from, to, 1)
	}
	return map[string]string{
		"odd-nested":            strings.Repeat(`{"service":`, 200_000) + "1" + strings.Repeat("}", 200_000),
		"odd-nested-field":      entry(`"a"`, strings.Repeat("[", 200_000)+strings.Repeat("]", 200_000)),
		"odd-number":            entry("8000", "92233720368547758070"),
		"odd-capacity":          entry("8000", "9223372036854775807"),
		"odd-negative-capacity": entry("16000", "-16000"),
		"odd-born":              entry("1700000000000", "9223372036854775807"),
		"odd-time-left":         entry(`"clock_ms":1`, `"remaining_ms":9223372036854775807`),
		"odd-port":              entry(address, "127.0.0.1:70000"),
		"odd-no-port":           entry(address, "127.0.0.1"),
		"odd-host":              entry(address, "no host"),
		"odd-url":               entry(address, address+"/?%zz"),
		"odd-state":             entry("ready", "asleep"),
		"odd-type":              entry(`"s"`, "[7]"),
		"odd-bytes":             "\xff\x00\xfe",
		"odd\nkey":              entry("", ""),
		"i-0":                   entry("8000", "-1"), // the key of an executor in use
	}
}

// TestOddEntriesInTheListOfExecutors guards against a process that ends, stops
// following the list of executors, or calls an address that an odd entry names,
// once another writer has left odd entries in the list.
func TestOddEntriesInTheListOfExecutors(t *testing.T) {
	for name, c := range map[string]struct{ before, after bool }{
		"before the start":           {before: true},
		"after the start":            {after: true},
		"before and after the start": {before: true, after: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			stranger := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
			t.Cleanup(stranger.Close)
			s := newCluster(t, 0)
			first := []*fleet.Executor{s.executor("i-0"), s.executor("i-1")} // one in each shard
			write := func() {
				for key, value := range oddEntries(stranger.Listener.Addr().String()) {
					s.store.Put("keyed.servers", key, []byte(value))
				}
				s.store.PutMalformed("keyed.servers", nil)
				s.store.PutMalformed("keyed.servers", []byte("\xffshort"))
			}
			if c.before {
				write()
			}
			a := s.start()
			status, _ := s.call(a, http.MethodPost, jobID(1), twoSteps)
			is.Equal(status, http.StatusOK)
			s.await(a, jobID(1), "completed")
			if c.after {
				write()
			}
			// Only executors that register behind the odd entries can run the next
			// job.
			t.Cleanup(s.executor("i-2").Close)
			t.Cleanup(s.executor("i-3").Close)
			for _, x := range first {
				x.Leave()
			}
			status, _ = s.call(a, http.MethodPost, jobID(2), twoSteps)
			is.Equal(status, http.StatusOK)
			s.await(a, jobID(2), "completed")
			// A process that starts later reads the odd entries as part of the
			// complete list.
			b := s.start()
			a.stop()
			<-a.done
			status, _ = s.call(b, http.MethodPost, jobID(3), twoSteps)
			is.Equal(status, http.StatusOK)
			s.await(b, jobID(3), "completed")
			select {
			case <-b.done:
				t.Error("the process has ended")
			default:
			}
			s.checkRunOnce(3 * 5)
			is.Equal(calls.Load(), int64(0))
		})
	}
}
