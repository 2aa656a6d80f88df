package intake

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// TestOverdueClientsAreDisplaced guards against clients that keep their places by
// sending or reading a little, and against the loss of those that are in time.
func TestOverdueClientsAreDisplaced(t *testing.T) {
	const rate = 10_000 // bytes per second
	receive := func(n unit.Bytes) func(*Table, ID) {
		return func(t *Table, id ID) { t.Enter(id, PhaseBody, 0); t.ReceiveBody(id, n) }
	}
	write := func(t *Table, id ID) { t.Enter(id, PhaseServing, 0); t.BeginWrite(id, rate, 0) }
	written := func(t *Table, id ID) { write(t, id); t.EndWrite(id, 100) }
	answered := func(t *Table, id ID) { t.Enter(id, PhaseServing, 0); t.Enter(id, PhaseIdle, 0) }
	again := func(t *Table, id ID) { answered(t, id); t.Receive(id, 1, 0, 2900) }
	for name, test := range map[string]struct {
		clients   []func(*Table, ID) // actions of the connections, which are open since 0
		unread    ID                 // connection with bytes that were not read
		at        clock.Millis
		displaced ID
	}{
		"nothing sent":                {[]func(*Table, ID){receive(0), receive(rate)}, 0, 1001, 1},
		"within the grace":            {[]func(*Table, ID){receive(0), receive(rate)}, 0, 1000, 0},
		"the slower body":             {[]func(*Table, ID){receive(rate), receive(rate / 2)}, 0, 3000, 2},
		"bodies at the rate":          {[]func(*Table, ID){receive(2 * rate), receive(3 * rate)}, 0, 3000, 0},
		"raw bytes of a body":         {[]func(*Table, ID){func(t *Table, id ID) { receive(0)(t, id); t.Receive(id, rate, 0, 2900) }}, 0, 3000, 1},
		"unread bytes":                {[]func(*Table, ID){receive(0), receive(100)}, 1, 3000, 2},
		"response that is not read":   {[]func(*Table, ID){write, receive(3 * rate)}, 1, 3000, 1},
		"response that may take time": {[]func(*Table, ID){write}, 0, 2000, 0},
		"request that is served":      {[]func(*Table, ID){written, written}, 0, 9000, 0},
		"between two requests":        {[]func(*Table, ID){receive(0), answered}, 0, 3000, 2},
		"next request has begun":      {[]func(*Table, ID){again}, 0, 3000, 0},
		"answered, to be closed":      {[]func(*Table, ID){receive(0), func(t *Table, id ID) { written(t, id); t.Enter(id, PhaseClosing, 0) }}, 2, 3000, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Limits: Limits{Connections: len(test.clients), Bytes: 1 << 20, ShortGrace: 1000, ShortRate: rate}}
			table.HasUnread = func(id ID) bool { return id == test.unread }
			for _, act := range test.clients {
				id, _, ok := table.Open(0)
				is.True(ok)
				act(table, id)
			}
			_, displaced, ok := table.Open(test.at)
			is.Equal(displaced, test.displaced)
			is.Equal(ok, displaced != 0)
		})
	}
}

// TestWaitForAPlace guards against new connections that wait for good or without a
// pause, and against those that are refused while places become free.
func TestWaitForAPlace(t *testing.T) {
	for name, test := range map[string]struct {
		attempts []clock.Millis // the last one finds no place; a place becomes free before the one at 900
		retryIn  clock.Span
	}{
		"until a client is overdue":   {[]clock.Millis{120}, 81},
		"no shorter than the pause":   {[]clock.Millis{120, 199}, minRetry},
		"served for long":             {[]clock.Millis{300, 700}, 100},
		"refused":                     {[]clock.Millis{300, 700, 801}, 0},
		"after a place became free":   {[]clock.Millis{300, 900, 1350}, 100},
		"nothing but requests served": {[]clock.Millis{300}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Limits: Limits{Connections: 1, ShortGrace: 200, MaxWait: 500}}
			id, _, _ := table.Open(0)
			for i, at := range test.attempts {
				if at >= 300 {
					table.Enter(id, PhaseServing, 250)
				}
				if at == 900 {
					table.Close(id)
				}
				newID, _, ok := table.Open(at)
				if i == len(test.attempts)-1 {
					is.True(!ok)
					is.Equal(table.RetryIn(at), test.retryIn)
				} else if ok {
					id = newID
				}
			}
		})
	}
}
