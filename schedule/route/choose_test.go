package route

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/slot"
	"mimosadock/schedule/unit"
)

// newUpstream returns an upstream with n slots that are held until the given
// instant.
func newUpstream(n unit.Slots, until clock.Millis) *Upstream {
	u := &Upstream{Slots: new(slot.Counter), Pinned: new(slot.Counter)}
	u.Slots.Hold(n, until)
	return u
}

// newTarget returns a target with one local group of n upstreams that have the
// given slots.
func newTarget(n int, slots unit.Slots) *Target {
	ups := make([]*Upstream, n)
	for i := range ups {
		ups[i] = newUpstream(slots, clock.Never)
		ups[i].Address = unit.Upstream(fmt.Sprint(i))
	}
	return &Target{Service: &service.Service{}, Groups: []*Group{NewGroup("kelso", true, 0, ups)}, Upstreams: ups, Stats: new(Stats)}
}

// TestChooseFindsEveryFreeSlot guards against a free slot that no request finds,
// and against a taken slot beyond the held ones, for any order of takes, releases
// and changes of the held slots.
func TestChooseFindsEveryFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 150).Draw(t, "upstreams")
		tg := newTarget(n, 0)
		holds := make([]int, n)
		var taken []*Upstream
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch i := rapid.IntRange(0, n-1).Draw(t, "upstream"); rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				holds[i] = rapid.IntRange(0, 3).Draw(t, "hold")
				tg.Upstreams[i].Slots.Hold(unit.Slots(holds[i]), clock.Never)
				tg.Upstreams[i].Refresh()
			case 1:
				if len(taken) > 0 {
					j := i % len(taken)
					taken[j].Release()
					taken = append(taken[:j], taken[j+1:]...)
				}
			default:
				free := unit.Slots(0)
				for _, u := range tg.Upstreams {
					free += u.Slots.Free()
				}
				u, out := tg.Choose(Query{})
				if (u != nil) != (free > 0) || (out == Taken) != (u != nil) {
					t.Fatalf("with %d free slots, Choose returned outcome %s", free, out)
				}
				if u != nil {
					taken = append(taken, u)
				}
			}
		}
	})
}

// TestConcurrentReleaseIsKept guards against a release that is lost while
// another request marks the upstream as full.
func TestConcurrentReleaseIsKept(t *testing.T) {
	tg := newTarget(3, 2)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 2000 {
				if u, _ := tg.Choose(Query{}); u != nil {
					u.Release()
				}
			}
		})
	}
	wg.Wait()
	for range 6 {
		if _, out := tg.Choose(Query{}); out != Taken {
			t.Fatalf("Choose returned outcome %s although slots are free", out)
		}
	}
}

// TestChooseOutcomes guards against slots that are taken although the deadline,
// the limit, the trial or an earlier attempt forbids it.
func TestChooseOutcomes(t *testing.T) {
	other := func(slots unit.Slots, oneWayLatency clock.Span) *Group {
		return NewGroup("hawick", false, oneWayLatency, []*Upstream{newUpstream(slots, clock.Never)})
	}
	tests := map[string]struct {
		change func(t *Target, q *Query)
		want   Outcome
		dc     unit.DataCentre
	}{
		"free":            {change: func(*Target, *Query) {}, want: Taken},
		"no upstream":     {change: func(t *Target, _ *Query) { t.Groups = nil }, want: NoUpstream},
		"full":            {change: func(t *Target, q *Query) { t.Choose(*q) }, want: Full},
		"beyond grant":    {change: func(t *Target, _ *Query) { t.Upstreams[0].Slots.Hold(1, 50) }, want: BeyondGrant},
		"earlier attempt": {change: func(t *Target, q *Query) { q.Excluded[1] = t.Upstreams[0] }, want: Full},
		"limit": {change: func(t *Target, q *Query) {
			t.Upstreams[0].Slots.Hold(2, clock.Never)
			t.Upstreams[0].SetLimit(1)
			t.Choose(*q)
		}, want: Full},
		"pinned counts towards limit": {change: func(t *Target, _ *Query) {
			t.Upstreams[0].Pinned.Hold(1, clock.Never)
			t.Upstreams[0].Pinned.Take(1)
			t.Upstreams[0].SetLimit(1)
		}, want: Full},
		"trial, not idempotent": {change: func(t *Target, _ *Query) { t.Upstreams[0].SetTrial(true) }, want: Full},
		"trial, idempotent": {change: func(t *Target, _ *Query) {
			t.Upstreams[0].SetTrial(true)
			t.Service = &service.Service{Idempotent: true}
		}, want: Taken},
		"other data centre": {change: func(t *Target, q *Query) {
			t.Choose(*q)
			t.Groups = append(t.Groups, other(1, 2))
		}, want: Taken, dc: "hawick"},
		"other data centre, too late": {change: func(t *Target, q *Query) {
			t.Choose(*q)
			t.Stats.p99.Store(97_000)
			t.Groups = append(t.Groups, other(1, 2))
		}, want: Full},
		"other data centre, local slot free": {change: func(t *Target, _ *Query) {
			t.Groups = append(t.Groups, other(8, 0))
		}, want: Taken, dc: "kelso"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg, q := newTarget(1, 1), Query{Deadline: 100}
			tg.Upstreams[0].DataCentre = "kelso"
			tc.change(tg, &q)
			u, out := tg.Choose(q)
			is.Equal(out, tc.want)
			if tc.dc == "hawick" {
				is.True(u != tg.Upstreams[0])
			}
		})
	}
}

// TestExpectedTime guards against a choice that ignores the load of this process,
// the reported load or the slowness of an upstream. The higher of the two loads
// counts, and a slow upstream costs more.
func TestExpectedTime(t *testing.T) {
	tests := map[string]struct {
		degrade func(u *Upstream)
	}{
		"own load":      {degrade: func(u *Upstream) { u.Slots.Take(0) }},
		"reported load": {degrade: func(u *Upstream) { u.RecordLoad(4) }},
		"slowness":      {degrade: func(u *Upstream) { u.SetSlownessPerRequest(5000) }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := newTarget(2, 8)
			tg.Upstreams[0].SetSlownessPerRequest(1000)
			tg.Upstreams[1].SetSlownessPerRequest(1000)
			tc.degrade(tg.Upstreams[0])
			u, _ := tg.Choose(Query{})
			is.Equal(u, tg.Upstreams[1])
		})
	}
}

// BenchmarkChoose measures Choose for several numbers of upstreams, with all of
// them free and with only one in 50 free.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 500, 1200} {
		for name, freeOneIn := range map[string]int{"free": 1, "mostFull": 50} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				tg := newTarget(n, 8)
				for i, u := range tg.Upstreams {
					if i%freeOneIn != 0 {
						u.Slots.Hold(0, clock.Never)
						tg.Groups[0].updateFree(i)
					}
					u.SetSlownessPerRequest(Slowness(1000 + rand.IntN(1000)))
				}
				b.ReportAllocs()
				for b.Loop() {
					u, _ := tg.Choose(Query{})
					if u == nil {
						b.Fatal("Choose found no free slot")
					}
					u.Release()
				}
			})
		}
	}
}
