package generator

import (
	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
)

// randomShortRunTime returns the run time of a short request, 55 ms in the
// median and 20 to 200 ms.
func (b *builder) randomShortRunTime() clock.Span { return b.logNormalSpan(55, 0.35, 20, 200) }

// martsSwing returns a trace of short lookups whose rate rises tenfold within a
// second, beside bulk reports, weighings and tag feeds. At the peak, the
// lookups alone need about 70% of all slots.
func martsSwing(name string, seed uint64) *trace.Trace {
	const from, to = 10 * clock.Second, 13 * clock.Second
	b := newBuilder(name, seed, martLayout(), 18*clock.Second)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Second
	b.addRequests("lookup", swingRate(600, 10, clock.Millis(from), clock.Millis(to)), b.randomShortRunTime)
	b.addRequests("weigh", constantRate(20), b.randomShortRunTime)
	b.addRequests("growth", constantRate(30), func() clock.Span { return b.logNormalSpan(900, 0.5, 200, 4*clock.Second) })
	b.addRequests("tags", constantRate(4), func() clock.Span { return b.uniformSpan(5*clock.Second, 20*clock.Second) })
	return b.sortedTrace()
}

// tilesWatches returns a trace of short requests at a constant rate beside more
// long watches than there are slow slots.
func tilesWatches(name string, seed uint64) *trace.Trace {
	b := newBuilder(name, seed, tileLayout(), 24*clock.Second)
	b.addRequests("glaze", constantRate(900), b.randomShortRunTime)
	b.addRequests("order", constantRate(20), b.randomShortRunTime)
	b.addRequests("watch", constantRate(16), func() clock.Span { return b.uniformSpan(10*clock.Second, 30*clock.Second) })
	return b.sortedTrace()
}

// tilesOrders returns a trace of short requests and orders with faults.
// Upstreams and entry processes fail and connections go silent, several of them
// at the same time.
func tilesOrders(name string, seed uint64) *trace.Trace {
	b := newBuilder(name, seed, tileLayout(), 20*clock.Second)
	b.addRequests("glaze", constantRate(150), b.randomShortRunTime)
	b.addRequests("order", constantRate(150), b.randomShortRunTime)
	b.addUpstreamCrashes(6)
	b.addSilences(12)
	b.addEntryCrashes(2)
	b.addShutdowns(2)
	return b.sortedTrace()
}

// martsFaults returns a trace of requests whose rate rises fivefold, with
// faults. Hosts fail, leave and lose their connections, several of them at the
// same time.
func martsFaults(name string, seed uint64) *trace.Trace {
	const from, to = 8 * clock.Second, 11 * clock.Second
	b := newBuilder(name, seed, martLayout(), 20*clock.Second)
	b.trace.Header.PeakFrom, b.trace.Header.PeakTo = from, to+clock.Second
	b.addRequests("lookup", swingRate(200, 5, clock.Millis(from), clock.Millis(to)), b.randomShortRunTime)
	b.addRequests("weigh", constantRate(40), b.randomShortRunTime)
	b.addRequests("tags", constantRate(2), func() clock.Span { return b.uniformSpan(4*clock.Second, 12*clock.Second) })
	b.addUpstreamCrashes(6)
	b.addUpstreamLeaves(5)
	b.addSilences(8)
	b.addEntryCrashes(2)
	b.addShutdowns(2)
	b.addLinkOutage("kelso", "hawick", 6*clock.Second, 5*clock.Second)
	b.addJournalOutage(7*clock.Second, 8*clock.Second)
	return b.sortedTrace()
}

// addUpstreamCrashes adds n crashes of upstreams, each followed by a restart 2
// to 4 seconds later. The first two are at the same instant.
func (b *builder) addUpstreamCrashes(n int) {
	length := b.trace.Header.Length
	for i := range n {
		at := clock.Millis(length / 4)
		if i > 1 {
			at = clock.Millis(b.uniformSpan(length/5, length*4/5))
		}
		upstream := b.randomUpstream()
		b.add(trace.Event{At: at, Type: trace.UpstreamDown, Upstream: upstream})
		b.add(trace.Event{At: at.Add(b.uniformSpan(2*clock.Second, 4*clock.Second)), Type: trace.UpstreamUp, Upstream: upstream})
	}
}

func (b *builder) addUpstreamLeaves(n int) {
	length := b.trace.Header.Length
	for range n {
		at := clock.Millis(b.uniformSpan(length/5, length*3/5))
		b.add(trace.Event{At: at, Type: trace.UpstreamLeave, Upstream: b.randomUpstream()})
	}
}

// addSilences adds n events after which the open connections between an entry
// host and an upstream deliver no more data. New connections work.
func (b *builder) addSilences(n int) {
	length := b.trace.Header.Length
	for range n {
		at := clock.Millis(b.uniformSpan(length/5, length*4/5))
		b.add(trace.Event{At: at, Type: trace.Silence, Entry: b.randomEntry(), Upstream: b.randomUpstream()})
	}
}

// addEntryCrashes adds n crashes of entry processes. A new instance starts two
// seconds after each.
func (b *builder) addEntryCrashes(n int) {
	length := b.trace.Header.Length
	for range n {
		at, entry := clock.Millis(b.uniformSpan(length/4, length*3/4)), b.randomEntry()
		b.add(trace.Event{At: at, Type: trace.EntryDown, Entry: entry})
		b.add(trace.Event{At: at.Add(2 * clock.Second), Type: trace.EntryUp, Entry: entry})
	}
}

// addShutdowns adds n graceful shutdowns of entry processes. A new instance
// starts four seconds after each.
func (b *builder) addShutdowns(n int) {
	length := b.trace.Header.Length
	for range n {
		at, entry := clock.Millis(b.uniformSpan(length/5, length*3/5)), b.randomEntry()
		b.add(trace.Event{At: at, Type: trace.EntryLeave, Entry: entry})
		b.add(trace.Event{At: at.Add(4 * clock.Second), Type: trace.EntryUp, Entry: entry})
	}
}

func (b *builder) addLinkOutage(x, y trace.DataCentre, from, length clock.Span) {
	link := [2]trace.DataCentre{x, y}
	b.add(trace.Event{At: clock.Millis(from), Type: trace.LinkDown, Link: link})
	b.add(trace.Event{At: clock.Millis(from + length), Type: trace.LinkUp, Link: link})
}

func (b *builder) addJournalOutage(from, length clock.Span) {
	b.add(trace.Event{At: clock.Millis(from), Type: trace.JournalDown})
	b.add(trace.Event{At: clock.Millis(from + length), Type: trace.JournalUp})
}
