package intake

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// testLimits has room for four buffers of 4 KiB, one of them for small requests.
var testLimits = Limits{
	Connections: 3, Bytes: 16 << 10, SmallBytes: 4 << 10, Small: 4 << 10,
	Grace: 5000, MinRate: 1000, MaxPause: 10_000, ShortGrace: 1000,
}

// open adds a connection that is in a phase since now. An idle one has been answered.
func open(is *is.I, t *Table, p Phase, now clock.Millis) ID {
	is.Helper()
	id, _, ok := t.Open(now)
	is.True(ok)
	if p == PhaseIdle {
		t.Enter(id, PhaseServing, now)
	}
	t.Enter(id, p, now)
	return id
}

// TestConnectionsAreDisplaced guards against clients that keep all connections, and
// against the loss of requests that are being served.
func TestConnectionsAreDisplaced(t *testing.T) {
	for name, test := range map[string]struct {
		phases    [3]Phase
		openedAt  [3]clock.Millis
		displaced ID // 0 if the new connection is refused
	}{
		"longest idle":                  {[3]Phase{PhaseIdle, PhaseIdle, PhaseBody}, [3]clock.Millis{2000, 1000, 0}, 2},
		"longest pause without an idle": {[3]Phase{PhaseBody, PhaseHeader, PhaseServing}, [3]clock.Millis{2000, 1000, 0}, 2},
		"all served":                    {[3]Phase{PhaseServing, PhaseServing, PhaseServing}, [3]clock.Millis{}, 0},
		"all recent":                    {[3]Phase{PhaseIdle, PhaseIdle, PhaseBody}, [3]clock.Millis{4500, 4600, 4700}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Limits: testLimits}
			for i, p := range test.phases {
				open(is, table, p, test.openedAt[i])
			}
			_, displaced, ok := table.Open(5000)
			is.Equal(ok, test.displaced != 0)
			is.Equal(displaced, test.displaced)
			is.Equal(table.Stats().Connections, 3)
		})
	}
}

// TestCrowded guards against clients whose requests follow one another without a
// pause and keep all connections, and against closed connections while there is room.
func TestCrowded(t *testing.T) {
	for name, test := range map[string]struct {
		connections int // that were opened at 1000, besides those that the limit allows
		at          clock.Millis
		crowded     bool
	}{
		"room for all":    {0, 1000, false},
		"one was refused": {1, 1000, true},
		"soon after":      {1, 1000 + clock.Millis(crowdedPeriod) - 1, true},
		"long after":      {1, 1000 + clock.Millis(crowdedPeriod), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Limits: testLimits}
			for range testLimits.Connections {
				open(is, table, PhaseServing, 1000)
			}
			for range test.connections {
				_, _, ok := table.Open(1000)
				is.True(!ok)
			}
			is.Equal(table.IsCrowded(test.at), test.crowded)
		})
	}
}

// TestReserve guards against requests that exceed the budget together, and against
// stalled ones that keep it.
func TestReserve(t *testing.T) {
	const buffer = 4 << 10
	for name, test := range map[string]struct {
		held    [2]unit.Bytes // by the first two requests
		at      clock.Millis  // of the third
		n       unit.Bytes
		ok      bool
		stalled int
	}{
		"room":                          {[2]unit.Bytes{buffer, buffer}, 500, buffer, true, 0},
		"no room beside progress":       {[2]unit.Bytes{2 * buffer, buffer}, 500, 2 * buffer, false, 0},
		"small request":                 {[2]unit.Bytes{2 * buffer, buffer}, 500, buffer, true, 0},
		"no room for a small request":   {[2]unit.Bytes{2 * buffer, buffer}, 500, buffer + 1, false, 0},
		"stalled request gives way":     {[2]unit.Bytes{2 * buffer, buffer}, 1500, 2 * buffer, true, 1},
		"stalled requests give way":     {[2]unit.Bytes{2 * buffer, buffer}, 1500, 3 * buffer, true, 2},
		"larger than the whole budget":  {[2]unit.Bytes{buffer, buffer}, 1500, 5 * buffer, false, 2},
		"larger than that of the large": {[2]unit.Bytes{0, 0}, 1500, 4 * buffer, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Limits: testLimits}
			for _, n := range test.held {
				id := open(is, table, PhaseBody, 1)
				_, ok := table.Reserve(id, n, 1)
				is.True(ok)
			}
			id := open(is, table, PhaseBody, test.at)
			stalled, ok := table.Reserve(id, test.n, test.at)
			is.Equal(ok, test.ok)
			is.Equal(len(stalled), test.stalled)
			is.True(table.Stats().Bytes <= testLimits.Bytes)
			for i := range ID(3) {
				table.Enter(i+1, PhaseIdle, test.at)
			}
			is.Equal(table.Stats().Bytes, unit.Bytes(0)) // nothing is held between requests
		})
	}
}

// TestTick guards against clients that stop short of the end of a body, and against
// the loss of slow ones that make progress.
func TestTick(t *testing.T) {
	every := func(interval clock.Millis, n unit.Bytes) map[clock.Millis]unit.Bytes {
		m := make(map[clock.Millis]unit.Bytes)
		for at := interval; at < 60_000; at += interval {
			m[at] = n
		}
		return m
	}
	for name, test := range map[string]struct {
		arrivals map[clock.Millis]unit.Bytes
		asleep   [2]clock.Millis // time in which the process does not run
		slow     bool
	}{
		"slow but steady":        {arrivals: every(1000, 1100)},
		"pauses below the limit": {arrivals: every(4000, 20_000)},
		"stopped short":          {arrivals: map[clock.Millis]unit.Bytes{100: 250_000}, slow: true},
		"nothing":                {slow: true},
		"a byte at a time":       {arrivals: every(500, 1), slow: true},
		"process was asleep":     {arrivals: every(1000, 2000), asleep: [2]clock.Millis{20_000, 40_000}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := &Table{Limits: testLimits}
			id := open(is, table, PhaseBody, 1)
			var slow []ID
			for now := clock.Millis(100); now < 50_000 && len(slow) == 0; now += 100 {
				if now > test.asleep[0] && now < test.asleep[1] {
					continue
				}
				if now%clock.Millis(TickInterval) == 0 {
					slow, _ = table.Tick(now)
				}
				if n := test.arrivals[now]; n > 0 {
					table.Receive(id, n, 0, now)
				}
			}
			is.Equal(len(slow) == 1, test.slow)
		})
	}
}

// TestLimitsOfHosts guards against limits that a client inside the platform's
// limits meets: bodies of 256 KiB, tens of them at once on the smallest host.
func TestLimitsOfHosts(t *testing.T) {
	for name, h := range map[string]Host{
		"no settings": {}, "smallest": {Memory: 184, Descriptors: 4100}, "largest": {Memory: 536, Descriptors: 8192},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := h.Callers()
			is.True(l.Bytes-l.SmallBytes >= 60*(256<<10))
			is.True(l.Connections >= 900)
			total := l.Connections + h.Peers().Connections + 2*h.Operators().Connections
			is.True(total <= max(h.Descriptors, 4096)/2) // the rest is for connections to executors
		})
	}
}
