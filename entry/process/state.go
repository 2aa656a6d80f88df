package process

import (
	"context"
	"encoding/json"
	"expvar"
	"maps"
	"time"

	"mimosadock/entry/control"
	"mimosadock/entry/front"
	"mimosadock/entry/pool"
)

// State is the state dump of a process.
type State struct {
	Control     *control.Dump              `json:"control"`
	Front       front.State                `json:"front"`
	Connections []pool.UpstreamState       `json:"connections"`
	Goroutines  map[string]int             `json:"goroutines"`
	Counters    map[string]json.RawMessage `json:"counters"`
}

// dumpTimeout bounds the wait for the control goroutine's tables.
const dumpTimeout = 2 * time.Second

// State returns the state dump of the process. It requests the tables from the
// control goroutine and adds the state of the request path and the counters. It
// fails if ctx ends or the control goroutine does not respond in dumpTimeout.
func (p *Process) State(ctx context.Context) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	reply := make(chan *control.Dump, 1)
	if err := p.Loop.Send(ctx, control.GetDump{Reply: reply}); err != nil {
		return nil, err
	}
	s := &State{Front: p.front.State(), Connections: p.pool.State(), Goroutines: maps.Clone(p.group.Running()), Counters: counters()}
	select {
	case s.Control = <-reply:
		return s, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// counters returns all expvar variables except those of package expvar itself.
func counters() map[string]json.RawMessage {
	m := make(map[string]json.RawMessage)
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" && kv.Key != "memstats" {
			m[kv.Key] = json.RawMessage(kv.Value.String())
		}
	})
	return m
}
