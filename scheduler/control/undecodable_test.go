package control

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// lineRecorder records the lines of the log.
type lineRecorder struct{ lines []string }

func (l *lineRecorder) LogChange(message string, fields ...any) {
	l.lines = append(l.lines, fmt.Sprint(append([]any{message}, fields...)...))
}

func (l *lineRecorder) LogDecision(string, ...any) {}

// Guards against odd entries of the list of executors that no operator sees, and
// against entries that fill the log, one line at each read.
func TestUndecodableEntriesAreReportedOnce(t *testing.T) {
	odd := func(keys ...string) dispatch.Registrations {
		var r dispatch.Registrations
		for _, k := range keys {
			r.Undecodable = append(r.Undecodable, dispatch.UndecodableEntry{Executor: unit.Executor(k), Reason: strings.Repeat("é", 10_000)})
		}
		return r
	}
	complete := func(r dispatch.Registrations) dispatch.Registrations {
		r.Complete = true
		return r
	}
	good := dispatch.Registrations{Entries: []dispatch.Registration{{Executor: "a"}}}
	removed := dispatch.Registrations{Removed: []unit.Executor{"a"}}
	var many []string
	for i := range 3 * maxUndecodableRemembered {
		many = append(many, fmt.Sprint("k", i, strings.Repeat("\xff", 1000)))
	}
	for name, c := range map[string]struct {
		reads   []dispatch.Registrations
		entries int64 // counted
		lines   int
	}{
		"none":                    {[]dispatch.Registrations{good, removed, complete(good)}, 0, 0},
		"one":                     {[]dispatch.Registrations{odd("a")}, 1, 1},
		"written again":           {[]dispatch.Registrations{odd("a"), odd("a"), odd("a", "a")}, 1, 1},
		"read again, complete":    {[]dispatch.Registrations{odd("a"), complete(odd("a")), complete(odd("a"))}, 1, 1},
		"without a key":           {[]dispatch.Registrations{odd(""), odd("")}, 1, 1},
		"two":                     {[]dispatch.Registrations{odd("a"), odd("b", "a")}, 2, 2},
		"back after a good one":   {[]dispatch.Registrations{odd("a"), good, odd("a")}, 2, 2},
		"back after a removal":    {[]dispatch.Registrations{odd("a"), removed, odd("a")}, 2, 2},
		"back, absent meanwhile":  {[]dispatch.Registrations{odd("a"), complete(good), odd("a")}, 2, 2},
		"many with long contents": {[]dispatch.Registrations{odd(many...)}, int64(len(many)), maxUndecodableLines},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log lineRecorder
			control := Control{EventLog: &log, Counters: new(Counters), Clock: new(clock.Manual)}
			for i := range c.reads {
				control.handleMessage(registrationsMessage{c.reads[i]})
			}
			is.Equal(control.Counters.UndecodableRegistrations.Load(), c.entries)
			is.Equal(len(log.lines), c.lines)
			is.True(len(control.undecodable.known) <= maxUndecodableRemembered)
			for _, line := range log.lines {
				is.True(len(line) <= 400)
			}
		})
	}
}

// fixedList is a list of executors that does not change.
type fixedList struct{ registrations dispatch.Registrations }

func (f fixedList) Next(context.Context) (dispatch.Registrations, error) { return f.registrations, nil }

// Guards against odd entries that add shards to the layout, which is for good.
func TestUndecodableEntriesAreNotCountedForTheLayout(t *testing.T) {
	odd := make([]dispatch.UndecodableEntry, 10_000)
	for name, c := range map[string]struct {
		list dispatch.Registrations
		want int
	}{
		"none":      {dispatch.Registrations{Complete: true}, 0},
		"only odd":  {dispatch.Registrations{Complete: true, Undecodable: odd}, 0},
		"odd, good": {dispatch.Registrations{Complete: true, Undecodable: odd, Entries: make([]dispatch.Registration, 3)}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			control := Control{EventLog: new(lineRecorder), Counters: new(Counters), NewRegistrationFeed: func() RegistrationFeed { return fixedList{c.list} }}
			is.Equal(control.countExecutors(t.Context()), c.want)
		})
	}
}
