package slot

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
)

// unlimitedRight is the right of an owner that keeps being confirmed.
var unlimitedRight = tenure.Right{QuickUntil: clock.Never, SlowUntil: clock.Never}

// Guards against shares that differ from max-min fairness, and slots that are
// lost or doubled in the division. The reference gives one slot after another
// to the holder with the smallest share that still wants one.
func TestDivideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) unit.Slots {
			return unit.Slots(rapid.IntRange(-1, 12).Draw(t, "demand"))
		}), 0, 8).Draw(t, "demands")
		capacity := unit.Slots(rapid.IntRange(0, 40).Draw(t, "capacity"))
		need, target := make([]unit.Slots, len(demand)), make([]unit.Slots, len(demand))
		divide(need, target, demand, capacity)

		want, present, left := make([]unit.Slots, len(demand)), unit.Slots(0), capacity
		for ; left > 0; left-- {
			best := -1
			for i, d := range demand {
				if want[i] < d && (best < 0 || want[i] < want[best]) {
					best = i
				}
			}
			if best < 0 {
				break
			}
			want[best]++
		}
		sum := unit.Slots(0)
		for i, d := range demand {
			if need[i] != want[i] || target[i] < need[i] || d == noHolder && target[i] != 0 {
				t.Fatalf("demand %v of %d: need %v, target %v, want %v", demand, capacity, need, target, want)
			}
			sum += target[i]
			if d != noHolder {
				present++
			}
		}
		if present > 0 && sum != capacity {
			t.Fatalf("targets %v of demand %v add up to %d, want %d", target, demand, sum, capacity)
		}
	})
}

// Guards against a holder whose slots differ from what the owner counts after
// messages were lost, repeated or reordered, and against doubled slots.
func TestHoldersFollowGranter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const upstreams, holders, slots = 3, 3, 5
		g := Granter{Limits: tenure.DefaultLimits()}
		g.Begin("kelso", 1)
		all := make([]Holder, holders)
		for u := range upstreams {
			name := unit.Upstream(fmt.Sprint("u", u))
			g.Upstream(name, "weighbook", slots)
			for i := range all {
				all[i].Self = unit.Instance(fmt.Sprint("h", i))
				all[i].Track(name, "kelso", "weighbook", new(Counter), new(Counter))
				all[i].Adopt("kelso", 1, "owner")
			}
		}
		var late []*Grants
		now := clock.Millis(0)
		step := func(lossy bool) {
			now = now.Add(SteadyDemandInterval)
			for i := range all {
				load := unit.Slots(rapid.IntRange(0, 20).Draw(t, "load"))
				d, ok := all[i].Demand("kelso", now, func(Set) unit.Slots { return load })
				if !ok || lossy && rapid.Bool().Draw(t, "lost") {
					continue
				}
				g.Demand(&d, now)
			}
			g.Tick(now, unlimitedRight)
			for i := range all {
				out, ok := g.Answer(all[i].Self, now, unlimitedRight)
				if ok && lossy && rapid.Bool().Draw(t, "late") {
					late = append(late, &out)
				} else if ok {
					all[i].Apply(&out)
				}
			}
			requireHeldWithinSlots(t, all, slots)
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			step(true)
		}
		step(false)
		step(false)
		for i := range all { // repeated and overtaken answers
			for _, l := range late {
				if l.DemandSentAt < now {
					all[i].Apply(l)
				}
			}
		}
		for name, u := range g.upstreams.All() {
			for i := range all {
				want := u.allocation(g.holders.Get(all[i].Self).ordinal).granted
				if held := all[i].upstreams.Get(name).counter.Held(); held != want {
					t.Fatalf("%s holds %v of %s, granted %v", all[i].Self, held, name, want)
				}
			}
		}
	})
}

func requireHeldWithinSlots(t *rapid.T, all []Holder, slots unit.Slots) {
	for name := range all[0].upstreams.All() {
		sum := unit.Slots(0)
		for i := range all {
			sum += all[i].upstreams.Get(name).counter.Held().Total()
		}
		if sum > slots {
			t.Fatalf("%d slots of %s are held, it has %d", sum, name, slots)
		}
	}
}

// Guards against pins that are granted twice, leak, or get slots that others
// use.
func TestPins(t *testing.T) {
	is := is.New(t)
	g := Granter{Limits: tenure.DefaultLimits()}
	g.Begin("kelso", 1)
	g.Upstream("u", "weighbook", 4)
	demand := Demand{DataCentre: "kelso", Epoch: 1, Holder: "h", Asked: 1, Wants: []Want{{Set: "weighbook", Slots: 9}}}
	is.True(g.Demand(&demand, 0))
	g.Tick(0, unlimitedRight) // the holder has all four slots
	pin := Pin{DataCentre: "kelso", Epoch: 1, Holder: "h", ID: 1, Set: "weighbook", Remaining: clock.Minute}
	_, answered := g.Pin(&pin, 0, unlimitedRight)
	is.True(!answered) // a short request has to give a slot back
	g.Tick(1, unlimitedRight)
	grants, _ := g.Answer("h", 1, unlimitedRight)
	is.Equal(grants.Cells, []Cell{{Upstream: "u", Parts: Parts{Quick: 2, Slow: 1}}})
	demand.Asked, demand.Applied, demand.LastPinID, demand.OpenPins = 2, grants.Version, 1, []PinID{1}
	is.True(g.Demand(&demand, 2))
	g.Tick(2, unlimitedRight)
	for range 2 { // repeated
		got, answered := g.Pin(&pin, 3, unlimitedRight)
		is.True(answered)
		is.Equal(got.Upstream, unit.Upstream("u"))
	}
	is.Equal(g.upstreams.Get("u").pinned, unit.Slots(1))
	refused, answered := g.Pin(&Pin{DataCentre: "kelso", Epoch: 1, Holder: "h", ID: 2, Set: "weighbook", Remaining: 3 * clock.Hour}, 3,
		tenure.Right{SlowUntil: 7_200_000})
	is.True(answered && refused.Upstream == "") // it would outlast the right
	demand.Asked, demand.OpenPins = 3, nil
	is.True(g.Demand(&demand, 4)) // the request has ended
	is.Equal(g.upstreams.Get("u").pinned, unit.Slots(0))
	late, answered := g.Pin(&pin, 5, unlimitedRight)
	is.True(answered && late.Upstream == "") // a delayed repetition takes no slot
}

// BenchmarkGranterTick measures one tick at the target size, with demands of
// all holders that keep changing.
func BenchmarkGranterTick(b *testing.B) {
	const upstreams, holders, sets = 1200, 28, 20
	g := Granter{Limits: tenure.DefaultLimits()}
	g.Begin("kelso", 1)
	for u := range upstreams {
		g.Upstream(unit.Upstream(fmt.Sprintf("10.0.%d.%d:80", u/250, u%250)), Set(fmt.Sprint("set", u%sets)), 8)
	}
	demands := make([]Demand, holders)
	for h := range demands {
		demands[h] = Demand{DataCentre: "kelso", Epoch: 1, Holder: unit.Instance(fmt.Sprintf("holder-%028d", h))}
		for s := range sets {
			demands[h].Wants = append(demands[h].Wants, Want{Set: Set(fmt.Sprint("set", s))})
		}
	}
	now, i := clock.Millis(0), 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50)
		for k := range holders / 5 { // each holder every 250 ms
			d := &demands[(i*(holders/5)+k)%holders]
			d.Asked, d.Applied = now, g.version
			for s := range d.Wants {
				d.Wants[s].Slots = unit.Slots(10 + (i+s)%9)
			}
			g.Demand(d, now)
			g.Answer(d.Holder, now, unlimitedRight)
		}
		g.Tick(now, unlimitedRight)
		i++
	}
}
