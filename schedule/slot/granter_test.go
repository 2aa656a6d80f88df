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

// unlimitedRight is the right of an owner whose confirmation never expires.
var unlimitedRight = tenure.Right{QuickUntil: clock.Never, SlowUntil: clock.Never}

// TestDivideMatchesReference guards against shares that differ from max-min
// fairness, and against slots that the division loses or assigns twice. The
// reference assigns slots one by one to the holder with the smallest share that
// is below its demand.
func TestDivideMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) unit.Slots {
			return unit.Slots(rapid.IntRange(-1, 12).Draw(t, "demand"))
		}), 0, 8).Draw(t, "demands")
		capacity := unit.Slots(rapid.IntRange(0, 40).Draw(t, "capacity"))
		fairShare, target := make([]unit.Slots, len(demand)), make([]unit.Slots, len(demand))
		divide(fairShare, target, demand, capacity)

		want, holders, remaining := make([]unit.Slots, len(demand)), unit.Slots(0), capacity
		for ; remaining > 0; remaining-- {
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
			if fairShare[i] != want[i] || target[i] < fairShare[i] || d == noDemand && target[i] != 0 {
				t.Fatalf("demand %v, capacity %d: fair share %v, target %v; want fair share %v", demand, capacity, fairShare, target, want)
			}
			sum += target[i]
			if d != noDemand {
				holders++
			}
		}
		if holders > 0 && sum != capacity {
			t.Fatalf("targets %v for demand %v sum to %d, want %d", target, demand, sum, capacity)
		}
	})
}

// TestHoldersFollowGranter guards against a holder whose slots differ from the
// owner's count after messages were lost, repeated or reordered. It also guards
// against slots that two holders have at the same time.
func TestHoldersFollowGranter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const upstreams, holders, slots = 3, 3, 5
		g := Granter{Limits: tenure.DefaultLimits()}
		g.BeginEpoch("kelso", 1)
		all := make([]Holder, holders)
		for u := range upstreams {
			name := unit.Upstream(fmt.Sprint("u", u))
			g.SetUpstream(name, "weighbook", slots)
			for i := range all {
				all[i].Self = unit.Instance(fmt.Sprint("h", i))
				all[i].Track(name, "kelso", "weighbook", new(Counter), new(Counter))
				all[i].SetOwner("kelso", 1, "owner")
			}
		}
		var delayed []*Grants
		now := clock.Millis(0)
		step := func(lossy bool) {
			now = now.Add(SteadyDemandInterval)
			for i := range all {
				load := unit.Slots(rapid.IntRange(0, 20).Draw(t, "load"))
				d, ok := all[i].NextDemand("kelso", now, func(UpstreamSet) unit.Slots { return load })
				if !ok || lossy && rapid.Bool().Draw(t, "lost") {
					continue
				}
				g.RecordDemand(&d, now)
			}
			g.Tick(now, unlimitedRight)
			for i := range all {
				out, ok := g.GrantsFor(all[i].Self, now, unlimitedRight)
				if ok && lossy && rapid.Bool().Draw(t, "late") {
					delayed = append(delayed, &out)
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
		for i := range all { // repeated and outdated replies
			for _, grants := range delayed {
				if grants.DemandSentAt < now {
					all[i].Apply(grants)
				}
			}
		}
		for name, u := range g.upstreams.All() {
			for i := range all {
				want := u.ensureAllocation(g.holders.Get(all[i].Self).ordinal).granted
				if held := all[i].tracked.Get(name).counter.Held(); held != want {
					t.Fatalf("holder %s holds %v of upstream %s, want the granted %v", all[i].Self, held, name, want)
				}
			}
		}
	})
}

// requireHeldWithinSlots fails the test if the holders together hold more slots
// of an upstream than it has.
func requireHeldWithinSlots(t *rapid.T, all []Holder, slots unit.Slots) {
	for name := range all[0].tracked.All() {
		sum := unit.Slots(0)
		for i := range all {
			sum += all[i].tracked.Get(name).counter.Held().Total()
		}
		if sum > slots {
			t.Fatalf("holders hold %d slots of upstream %s, which has %d", sum, name, slots)
		}
	}
}

// TestPins guards against pins that are granted twice, are never freed, or get
// slots that other requests use.
func TestPins(t *testing.T) {
	is := is.New(t)
	g := Granter{Limits: tenure.DefaultLimits()}
	g.BeginEpoch("kelso", 1)
	g.SetUpstream("u", "weighbook", 4)
	demand := Demand{DataCentre: "kelso", Epoch: 1, Holder: "h", SentAt: 1, DemandBySet: []UpstreamSetDemand{{Set: "weighbook", Slots: 9}}}
	is.True(g.RecordDemand(&demand, 0))
	g.Tick(0, unlimitedRight) // the holder has all four slots
	pin := PinRequest{DataCentre: "kelso", Epoch: 1, Holder: "h", ID: 1, Set: "weighbook", Remaining: clock.Minute}
	_, replied := g.DecidePin(&pin, 0, unlimitedRight)
	is.True(!replied) // an unpinned request has to return a slot first
	g.Tick(1, unlimitedRight)
	grants, _ := g.GrantsFor("h", 1, unlimitedRight)
	is.Equal(grants.Allocations, []Allocation{{Upstream: "u", Parts: Parts{Quick: 2, Slow: 1}}})
	demand.SentAt, demand.Applied, demand.LastPinID, demand.OpenPins = 2, grants.Version, 1, []PinID{1}
	is.True(g.RecordDemand(&demand, 2))
	g.Tick(2, unlimitedRight)
	for range 2 { // repeated
		got, replied := g.DecidePin(&pin, 3, unlimitedRight)
		is.True(replied)
		is.Equal(got.Upstream, unit.Upstream("u"))
	}
	is.Equal(g.upstreams.Get("u").pinned, unit.Slots(1))
	refused, replied := g.DecidePin(&PinRequest{DataCentre: "kelso", Epoch: 1, Holder: "h", ID: 2, Set: "weighbook", Remaining: 3 * clock.Hour}, 3,
		tenure.Right{SlowUntil: 7_200_000})
	is.True(replied && refused.Upstream == "") // it would outlast the right
	demand.SentAt, demand.OpenPins = 3, nil
	is.True(g.RecordDemand(&demand, 4)) // the request has ended
	is.Equal(g.upstreams.Get("u").pinned, unit.Slots(0))
	late, replied := g.DecidePin(&pin, 5, unlimitedRight)
	is.True(replied && late.Upstream == "") // a delayed repetition gets no slot
}

// BenchmarkGranterTick measures one tick at the target size while the demands of
// all holders change.
func BenchmarkGranterTick(b *testing.B) {
	const upstreams, holders, sets = 1200, 28, 20
	g := Granter{Limits: tenure.DefaultLimits()}
	g.BeginEpoch("kelso", 1)
	for u := range upstreams {
		g.SetUpstream(unit.Upstream(fmt.Sprintf("10.0.%d.%d:80", u/250, u%250)), UpstreamSet(fmt.Sprint("set", u%sets)), 8)
	}
	demands := make([]Demand, holders)
	for h := range demands {
		demands[h] = Demand{DataCentre: "kelso", Epoch: 1, Holder: unit.Instance(fmt.Sprintf("holder-%028d", h))}
		for s := range sets {
			demands[h].DemandBySet = append(demands[h].DemandBySet, UpstreamSetDemand{Set: UpstreamSet(fmt.Sprint("set", s))})
		}
	}
	now, i := clock.Millis(0), 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50)
		for k := range holders / 5 { // each holder every 250 ms
			d := &demands[(i*(holders/5)+k)%holders]
			d.SentAt, d.Applied = now, g.version
			for s := range d.DemandBySet {
				d.DemandBySet[s].Slots = unit.Slots(10 + (i+s)%9)
			}
			g.RecordDemand(d, now)
			g.GrantsFor(d.Holder, now, unlimitedRight)
		}
		g.Tick(now, unlimitedRight)
		i++
	}
}
