package control

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
	"mimosadock/scheduler/record"
)

// newEvacuationFixture returns a fixture whose process knows of executor x0 in data
// centre d0 and of x1 in d1.
func newEvacuationFixture() *storingFixture {
	f := newStoringFixture()
	f.control.EventLog = silentLog{}
	f.control.layout.Store(&dispatch.Layout{Shards: 1})
	f.control.handleMessage(registrationsMessage{dispatch.Registrations{Complete: true, Entries: []dispatch.Registration{
		{Executor: "x0", Service: "s", Address: "a", DataCentre: "d0", Incarnation: 1, Capacity: unit.Resources{CPU: 8000, Memory: 8000}},
		{Executor: "x1", Service: "s", Address: "b", DataCentre: "d1", Incarnation: 1, Capacity: unit.Resources{CPU: 8000, Memory: 8000}},
	}}})
	return f
}

// silentLog is an [EventLog] that drops all lines.
type silentLog struct{}

func (silentLog) LogChange(string, ...any)   {}
func (silentLog) LogDecision(string, ...any) {}

// gain replaces the owned shard by one that the process has just gained.
func (f *storingFixture) gain() {
	f.owned = &ownedShard{
		writer: record.NewWriter(record.Limits{}, new(record.Set)), shard: &dispatch.Shard{Limits: dispatch.DefaultLimits, AwaitsOperator: true},
		epoch: f.owned.epoch + 1, ctx: context.Background(),
	}
	f.control.owned[0] = f.owned
	f.control.passEvacuated(f.owned)
	f.owned.restored = true
	f.control.handleMessage(registrationsMessage{dispatch.Registrations{Entries: []dispatch.Registration{f.control.registrations["x0"], f.control.registrations["x1"]}}})
}

// evacuated returns the executors that the owned shard takes for evacuated.
func (f *storingFixture) evacuated() map[unit.Executor]bool {
	out := make(map[unit.Executor]bool)
	for _, e := range f.owned.shard.Summarize().Executors {
		if e.Evacuated {
			out[e.Executor] = true
		}
	}
	return out
}

// TestEvacuationsOfTheProcess guards against shards that don't know of an evacuation:
// those that were owned before it, those that are gained later, and those that are
// gained before the operator's requests were read.
func TestEvacuationsOfTheProcess(t *testing.T) {
	begin, end := evacuatedMessage{[]unit.DataCentre{"d0"}}, evacuatedMessage{}
	none, x0 := map[unit.Executor]bool{}, map[unit.Executor]bool{"x0": true}
	for name, c := range map[string]struct {
		script func(f *storingFixture)
		want   map[unit.Executor]bool
		awaits bool
	}{
		"owned before":             {func(f *storingFixture) { f.control.handleMessage(begin) }, x0, false},
		"ended":                    {func(f *storingFixture) { f.control.handleMessage(begin); f.control.handleMessage(end) }, none, false},
		"gained later":             {func(f *storingFixture) { f.control.handleMessage(begin); f.gain() }, x0, false},
		"gained after its end":     {func(f *storingFixture) { f.control.handleMessage(begin); f.control.handleMessage(end); f.gain() }, none, false},
		"gained before it is read": {func(f *storingFixture) { f.gain() }, none, true},
		"read after the gain":      {func(f *storingFixture) { f.gain(); f.control.handleMessage(begin) }, x0, false},
		"another one begins": {func(f *storingFixture) {
			f.control.handleMessage(begin)
			f.control.handleMessage(evacuatedMessage{[]unit.DataCentre{"d0", "d1"}})
		}, map[unit.Executor]bool{"x0": true, "x1": true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newEvacuationFixture()
			c.script(f)
			is.Equal(f.evacuated(), c.want)
			is.Equal(f.owned.shard.AwaitsOperator, c.awaits)
			dump := f.control.dumpEvacuations()
			is.Equal(len(dump), len(c.want))
			for _, d := range dump {
				is.Equal(d.Executors, 1)
				is.True(d.Since > 0)
			}
			is.Equal(f.control.Counters.EvacuatedDataCentres.Load(), int64(len(c.want)))
		})
	}
}

// TestStartsOnTheirWay guards against a start that leaves for an executor that takes
// none any more, because it had to wait between the decision and the call.
func TestStartsOnTheirWay(t *testing.T) {
	drain := registrationsMessage{dispatch.Registrations{Entries: []dispatch.Registration{{Executor: "x0", DataCentre: "d0", Draining: true}}}}
	for name, c := range map[string]struct {
		messages []any
		leaves   bool
	}{
		"usable":               {nil, true},
		"evacuated":            {[]any{evacuatedMessage{[]unit.DataCentre{"d0"}}}, false},
		"another data centre":  {[]any{evacuatedMessage{[]unit.DataCentre{"d1"}}}, true},
		"evacuation has ended": {[]any{evacuatedMessage{[]unit.DataCentre{"d0"}}, evacuatedMessage{}}, true},
		"draining":             {[]any{drain}, false},
		"removed":              {[]any{drain, registrationsMessage{dispatch.Registrations{Removed: []unit.Executor{"x0"}}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newEvacuationFixture()
			x := new(countingExecutors)
			f.control.Executors = x
			for _, m := range c.messages {
				f.control.handleMessage(m)
			}
			for kind, o := range map[string]dispatch.Order{"start": {Start: new(dispatch.StartOrder)}, "stop": {Stop: new(dispatch.StopOrder)}, "hold": {Hold: new(dispatch.HoldOrder)}} {
				o.To.Executor = "x0"
				a, err := f.control.deliverOrder(context.Background(), o)
				is.NoErr(err)
				is.Equal(a.Outcome == dispatch.OutcomeNotSent, kind == "start" && !c.leaves)
			}
			is.Equal(x.starts == 1, c.leaves)
			is.Equal(x.stops+x.holds, 2)
		})
	}
}

// operatorReads is an [OperatorFeed] with fixed results, the last of which ends ctx.
type operatorReads struct {
	results []operatorRead
	cancel  context.CancelFunc
}

type operatorRead struct {
	operations dispatch.Operations
	err        error
}

// Next implements [OperatorFeed].
func (r *operatorReads) Next(context.Context, clock.Span) (dispatch.Operations, error) {
	next := r.results[0]
	if r.results = r.results[1:]; len(r.results) == 0 {
		r.cancel()
	}
	return next.operations, next.err
}

// TestReadsOfEvacuations guards against an evacuation that ends because the store
// fails, and against a configuration that is in force before the evacuations of the
// same read.
func TestReadsOfEvacuations(t *testing.T) {
	config := &dispatch.Config{Version: 1}
	read := func(c *dispatch.Config, names ...unit.DataCentre) operatorRead {
		return operatorRead{dispatch.Operations{Config: c, Evacuated: names}, nil}
	}
	failed := operatorRead{err: errors.New("store is away")}
	d0 := []unit.DataCentre{"d0"}
	for name, c := range map[string]struct {
		reads []operatorRead
		want  []any // messages to the control goroutine
	}{
		"nothing":                 {[]operatorRead{read(nil), read(nil)}, []any{evacuatedMessage{}}},
		"with the configuration":  {[]operatorRead{read(config, "d0"), read(nil, "d0")}, []any{evacuatedMessage{d0}, configMessage{config}}},
		"store fails first":       {[]operatorRead{failed, read(nil, "d0"), read(nil, "d0")}, []any{evacuatedMessage{d0}}},
		"store fails in between":  {[]operatorRead{read(nil, "d0"), failed, failed, read(nil, "d0"), read(nil, "d0")}, []any{evacuatedMessage{d0}}},
		"ended":                   {[]operatorRead{read(nil, "d0"), read(nil), read(nil)}, []any{evacuatedMessage{d0}, evacuatedMessage{}}},
		"another configuration":   {[]operatorRead{read(nil, "d0"), read(config, "d0"), read(nil, "d0")}, []any{evacuatedMessage{d0}, configMessage{config}}},
		"ended while store fails": {[]operatorRead{read(nil, "d0"), failed, read(nil), read(nil)}, []any{evacuatedMessage{d0}, evacuatedMessage{}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			control := &Control{Clock: clock.System{}, Operator: &operatorReads{c.reads, cancel}, EventLog: silentLog{}, Counters: new(Counters)}
			g := group.New(context.Background())
			control.Init(g)
			is.NoErr(control.followOperator(ctx))
			var got []any
			for range len(control.messages) {
				got = append(got, <-control.messages)
			}
			is.Equal(got, c.want)
			g.Stop()
			is.NoErr(g.Wait())
		})
	}
}
