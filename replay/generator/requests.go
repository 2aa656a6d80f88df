package generator

import (
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
)

// check returns a run time of a short check.
func (b *builder) check() clock.Span { return b.skewed(55, 0.35, 20, 200) }

// martsSwing has short lookups that swing to ten times their rate within a
// second, beside bulk reports, weighings and tag feeds. At the peak the lookups
// alone need about 70% of all slots.
func martsSwing(name string, seed uint64) *trace.Trace {
	const from, to = 10 * clock.Second, 13 * clock.Second
	b := newBuilder(name, seed, martLayout(), 18*clock.Second)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Second
	b.flow("lookup", swing(600, 10, clock.Millis(from), clock.Millis(to)), b.check)
	b.flow("weigh", steady(20), b.check)
	b.flow("growth", steady(30), func() clock.Span { return b.skewed(900, 0.5, 200, 4*clock.Second) })
	b.flow("tags", steady(4), func() clock.Span { return b.between(5*clock.Second, 20*clock.Second) })
	return b.finish()
}

// tilesWatches has checks at a steady rate beside more long watches than the
// slow slots can hold.
func tilesWatches(name string, seed uint64) *trace.Trace {
	b := newBuilder(name, seed, tileLayout(), 24*clock.Second)
	b.flow("glaze", steady(900), b.check)
	b.flow("order", steady(20), b.check)
	b.flow("watch", steady(16), func() clock.Span { return b.between(10*clock.Second, 30*clock.Second) })
	return b.finish()
}

// tilesOrders has orders while upstreams and entry hosts die and connections go
// silent, several at once.
func tilesOrders(name string, seed uint64) *trace.Trace {
	b := newBuilder(name, seed, tileLayout(), 20*clock.Second)
	b.flow("glaze", steady(150), b.check)
	b.flow("order", steady(150), b.check)
	b.upstreamFaults(6)
	b.silences(12)
	b.entryFaults(2)
	b.shutdowns(2)
	return b.finish()
}

// martsFaults has a moderate swing while hosts fail, leave and lose contact,
// several at once.
func martsFaults(name string, seed uint64) *trace.Trace {
	const from, to = 8 * clock.Second, 11 * clock.Second
	b := newBuilder(name, seed, martLayout(), 20*clock.Second)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Second
	b.flow("lookup", swing(200, 5, clock.Millis(from), clock.Millis(to)), b.check)
	b.flow("weigh", steady(40), b.check)
	b.flow("tags", steady(2), func() clock.Span { return b.between(4*clock.Second, 12*clock.Second) })
	b.upstreamFaults(6)
	b.leavings(5)
	b.silences(8)
	b.entryFaults(2)
	b.shutdowns(2)
	b.linkFault("kelso", "hawick", 6*clock.Second, 5*clock.Second)
	b.journalFault(7*clock.Second, 8*clock.Second)
	return b.finish()
}

// upstreamFaults lets n upstreams die and return a few seconds later, the first
// two at the same instant.
func (b *builder) upstreamFaults(n int) {
	length := b.trace.Header.Length
	for i := range n {
		at := clock.Millis(length / 4)
		if i > 1 {
			at = clock.Millis(b.between(length/5, length*4/5))
		}
		u := b.upstream()
		b.add(trace.Event{At: at, What: trace.UpstreamDown, Upstream: u})
		b.add(trace.Event{At: at.Add(b.between(2*clock.Second, 4*clock.Second)), What: trace.UpstreamUp, Upstream: u})
	}
}

func (b *builder) leavings(n int) {
	length := b.trace.Header.Length
	for range n {
		at := clock.Millis(b.between(length/5, length*3/5))
		b.add(trace.Event{At: at, What: trace.UpstreamLeave, Upstream: b.upstream()})
	}
}

// silences lets n open connections go silent for good while new ones work.
func (b *builder) silences(n int) {
	length := b.trace.Header.Length
	for range n {
		at := clock.Millis(b.between(length/5, length*4/5))
		b.add(trace.Event{At: at, What: trace.Silence, Entry: b.entry(), Upstream: b.upstream()})
	}
}

// entryFaults lets n entry processes die. A new instance starts two seconds
// later.
func (b *builder) entryFaults(n int) {
	length := b.trace.Header.Length
	for range n {
		at, e := clock.Millis(b.between(length/4, length*3/4)), b.entry()
		b.add(trace.Event{At: at, What: trace.EntryDown, Entry: e})
		b.add(trace.Event{At: at.Add(2 * clock.Second), What: trace.EntryUp, Entry: e})
	}
}

// shutdowns lets n entry processes shut down gracefully. A new instance starts
// four seconds later.
func (b *builder) shutdowns(n int) {
	length := b.trace.Header.Length
	for range n {
		at, e := clock.Millis(b.between(length/5, length*3/5)), b.entry()
		b.add(trace.Event{At: at, What: trace.EntryLeave, Entry: e})
		b.add(trace.Event{At: at.Add(4 * clock.Second), What: trace.EntryUp, Entry: e})
	}
}

func (b *builder) linkFault(x, y trace.DataCentre, from, length clock.Span) {
	link := [2]trace.DataCentre{x, y}
	b.add(trace.Event{At: clock.Millis(from), What: trace.LinkDown, Between: link})
	b.add(trace.Event{At: clock.Millis(from + length), What: trace.LinkUp, Between: link})
}

func (b *builder) journalFault(from, length clock.Span) {
	b.add(trace.Event{At: clock.Millis(from), What: trace.JournalDown})
	b.add(trace.Event{At: clock.Millis(from + length), What: trace.JournalUp})
}
