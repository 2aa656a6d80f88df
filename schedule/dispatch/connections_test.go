package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Guards against an executor that gets no runs because orders to it waited for each
// other.
func TestOrdersWithoutAConnectionSayNothingAboutTheExecutor(t *testing.T) {
	stop := Order{Stop: &StopOrder{Task: TaskID{Job: "j"}, Run: 1}}
	for name, c := range map[string]struct {
		order  Order
		err    error
		silent bool
	}{
		"no connection":            {stop, &verdict.Error{Verdict: verdict.DidNotRun, Err: ErrNoConnection}, false},
		"not sent":                 {stop, &verdict.Error{Verdict: verdict.DidNotRun}, true},
		"no answer":                {stop, &verdict.Error{Verdict: verdict.MayHaveRun}, true},
		"no connection for a hold": {Order{Hold: new(HoldOrder)}, &verdict.Error{Verdict: verdict.DidNotRun, Err: ErrNoConnection}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			e := f.shard.executors.Get("x0")
			c.order.To = e.target()
			f.shard.HandleAnswer(f.now, unit.UnixMillis(f.now), &c.order, &Answer{}, c.err)
			is.Equal(e.unresponsive, c.silent)
		})
	}
}

// Guards against an executor that accepts no connections of the owner of its shard,
// because earlier owners that lost power have used them up.
func TestConnectionsPerOwner(t *testing.T) {
	for name, c := range map[string]struct {
		services []ServiceConfig
		want     int
	}{
		"no configuration":       {nil, 2},
		"other service":          {[]ServiceConfig{{Name: "t", MaxConnections: 1000}}, 2},
		"default":                {[]ServiceConfig{{Name: "s", MaxConnections: DefaultMaxConnections}}, 2},
		"few":                    {[]ServiceConfig{{Name: "s", MaxConnections: 3}}, 2},
		"some more":              {[]ServiceConfig{{Name: "s", MaxConnections: 128}}, 4},
		"bounded by the owner's": {[]ServiceConfig{{Name: "s", MaxConnections: 10_000}}, 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			f.shard.Configure(&Config{Version: 1, Services: c.services})
			f.shard.executors.Get("x0").reconciled = false
			f.now = f.now.Add(10 * clock.Second)
			_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
			is.True(len(orders) > 0)
			for i := range orders {
				is.Equal(orders[i].To.Connections, c.want)
			}
			for _, s := range c.services {
				if n := connectionsPerOwner(s.MaxConnections); n > MinConnections {
					is.True(n*(lostOwners+presentOwners) <= s.MaxConnections)
				}
			}
		})
	}
}
