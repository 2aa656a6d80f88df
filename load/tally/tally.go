package tally

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

//go:generate go tool stringer -type=Result -linecomment

// Result is the result of one request from the view of its caller.
type Result int

// The results. Wrong also counts an answer to this request whose body is
// incomplete or changed although its framing is complete.
const (
	Lost      Result = iota // lost: no answer and no verdict
	Whole                   // whole: the whole answer to this request
	Truncated               // truncated: an answer that broke off
	Wrong                   // wrong: a whole answer to another request
	Refused                 // refused: verdict didNotRun
	Unknown                 // unknown: verdict mayHaveRun
)

// Latencies are recorded from a microsecond to an hour with three significant
// digits. A latency outside this range is recorded as the nearest bound.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Outcome is the result of one request with its latency.
type Outcome struct {
	ID      unit.Request
	Service unit.Service
	Result  Result
	Latency time.Duration // from the intended send time
	Peak    bool          // the intended send time lies between the start of the climb and the start of the fall
}

// Row has the counts and the latencies in microseconds of one service.
type Row struct {
	Service    unit.Service
	Sent       int64
	Results    [Unknown + 1]int64
	Duplicated int64                   // answers after the first one with the same id
	All        *hdrhistogram.Histogram // of all whole answers
	Peak       *hdrhistogram.Histogram // of whole answers to requests with Outcome.Peak
}

// Tally collects the counts and latencies of a run. The zero value is empty and
// ready to use. It is safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	rows     []*Row
	pending  map[unit.Request]unit.Service // requests without an outcome
	answered map[unit.Request]bool
}

// row returns the row of the service and adds it if it does not exist.
func (t *Tally) row(service unit.Service) *Row {
	for _, r := range t.rows {
		if r.Service == service {
			return r
		}
	}
	r := &Row{
		Service: service,
		All:     hdrhistogram.New(minMicros, maxMicros, significantDigits),
		Peak:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
	t.rows = append(t.rows, r)
	return r
}

// Sent records a request that is about to be sent. The id must be unique in the
// run.
func (t *Tally) Sent(service unit.Service, id unit.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending, t.answered = make(map[unit.Request]unit.Service), make(map[unit.Request]bool)
	}
	t.pending[id] = service
	t.row(service).Sent++
}

// Add counts the outcome of a request, or a duplicated answer if the request
// already has an outcome. It records the latencies of whole answers only, so
// that fast refusals do not improve the figures.
func (t *Tally) Add(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(o.Service)
	if t.answered[o.ID] {
		r.Duplicated++
		return
	}
	if t.answered == nil {
		t.answered = make(map[unit.Request]bool)
	}
	t.answered[o.ID] = true
	delete(t.pending, o.ID)
	r.Results[o.Result]++
	if o.Result != Whole {
		return
	}
	micros := min(max(o.Latency.Microseconds(), minMicros), maxMicros)
	_ = r.All.RecordValue(micros)
	if o.Peak {
		_ = r.Peak.RecordValue(micros)
	}
}

// Close counts every request without an outcome as lost.
func (t *Tally) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range t.pending {
		t.row(service).Results[Lost]++
	}
	clear(t.pending)
}

// Rows returns the counts per service in the order of their first request. The
// rows must not be read while requests are still being counted.
func (t *Tally) Rows() []*Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows
}

// Violations returns the number of answers that violate a guarantee of the
// system. These are the wrong and the duplicated answers.
func (t *Tally) Violations() int64 {
	n := int64(0)
	for _, r := range t.Rows() {
		n += r.Results[Wrong] + r.Duplicated
	}
	return n
}

// ResultOf returns the result for a verdict other than [verdict.Ran].
func ResultOf(v verdict.Verdict) Result {
	if v == verdict.DidNotRun {
		return Refused
	}
	return Unknown
}

// Print writes a table with one line per service to w. Latencies are in
// milliseconds.
func (t *Tally) Print(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "service\tsent\twhole\trefused\tunknown\ttruncated\twrong\tlost\tduplicated\tp50\tp99\tp99.9\tmax\tpeak p99\tpeak p99.9\t")
	for _, r := range t.Rows() {
		c := r.Results
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", r.Service, r.Sent, c[Whole], c[Refused], c[Unknown], c[Truncated], c[Wrong], c[Lost], r.Duplicated)
		for _, v := range []int64{
			r.All.ValueAtQuantile(50), r.All.ValueAtQuantile(99), r.All.ValueAtQuantile(99.9), r.All.Max(),
			r.Peak.ValueAtQuantile(99), r.Peak.ValueAtQuantile(99.9),
		} {
			fmt.Fprintf(tw, "%.2f\t", float64(v)/1000)
		}
		fmt.Fprintln(tw)
	}
	tw.Flush()
}
