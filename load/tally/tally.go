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

// Result is what became of one request, as its caller sees it.
type Result int

// The results.
const (
	Lost      Result = iota // lost: no answer and no verdict
	Whole                   // whole: the whole answer to this request
	Truncated               // truncated: an answer that broke off
	Wrong                   // wrong: a whole answer to another request
	Refused                 // refused: verdict didNotRun
	Unknown                 // unknown: verdict mayHaveRun
)

// Latencies are kept from a microsecond to an hour with three digits.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

// Answer is one answered or failed request.
type Answer struct {
	ID      unit.Request
	Service unit.Service
	Result  Result
	Latency time.Duration // from the intended send time
	Peak    bool          // intended to be sent in the swing
}

// Row is the count of one service.
type Row struct {
	Service    unit.Service
	Sent       int64
	Results    [Unknown + 1]int64
	Duplicated int64 // answers beyond the first with the same id
	All        *hdrhistogram.Histogram
	Peak       *hdrhistogram.Histogram
}

// Tally is the count of a run. The zero value is empty and ready to use. It is
// safe for concurrent use.
type Tally struct {
	mu       sync.Mutex
	rows     []*Row
	open     map[unit.Request]unit.Service
	answered map[unit.Request]bool
}

func (t *Tally) row(service unit.Service) *Row {
	for _, r := range t.rows {
		if r.Service == service {
			return r
		}
	}
	r := &Row{
		Service: service,
		All:     hdrhistogram.New(lowestMicros, highestMicros, digits),
		Peak:    hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
	t.rows = append(t.rows, r)
	return r
}

// Sent notes that a request is about to be sent. Its id must be new.
func (t *Tally) Sent(service unit.Service, id unit.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil {
		t.open, t.answered = make(map[unit.Request]unit.Service), make(map[unit.Request]bool)
	}
	t.open[id] = service
	t.row(service).Sent++
}

// Add counts an answer. Latencies count for whole answers only: a fast refusal
// must not improve the figures.
func (t *Tally) Add(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(a.Service)
	if t.answered[a.ID] {
		r.Duplicated++
		return
	}
	if t.answered == nil {
		t.answered = make(map[unit.Request]bool)
	}
	t.answered[a.ID] = true
	delete(t.open, a.ID)
	r.Results[a.Result]++
	if a.Result != Whole {
		return
	}
	micros := min(max(a.Latency.Microseconds(), lowestMicros), highestMicros)
	_ = r.All.RecordValue(micros)
	if a.Peak {
		_ = r.Peak.RecordValue(micros)
	}
}

// Close counts every request without an answer as lost.
func (t *Tally) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, service := range t.open {
		t.row(service).Results[Lost]++
	}
	clear(t.open)
}

// Rows returns the counts per service in the order of their first request. They
// must not be read while requests are still counted.
func (t *Tally) Rows() []*Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows
}

// Damaged returns the answers that break a promise of the system: wrong and
// duplicated ones.
func (t *Tally) Damaged() int64 {
	n := int64(0)
	for _, r := range t.Rows() {
		n += r.Results[Wrong] + r.Duplicated
	}
	return n
}

// ResultOf returns the result that a verdict of the system stands for.
func ResultOf(v verdict.Verdict) Result {
	if v == verdict.DidNotRun {
		return Refused
	}
	return Unknown
}

// Print writes a table with one line per service. Latencies are in
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
