package queue

import (
	"container/heap"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// MaxPerClass bounds the requests of one class that wait.
const MaxPerClass = 1024

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 50 * clock.Millisecond

// Item is a request that waits.
type Item[V any] struct {
	Class    service.Class
	Deadline clock.Millis
	Value    V
	sequence uint64
	place    int // index in its heap plus 1, zero if it does not wait
}

// Waits reports whether the item is in a queue.
func (i *Item[V]) Waits() bool { return i.place > 0 }

// Capacity is what a queue is served with.
type Capacity struct {
	Slots   unit.Slots // held in all
	Bulk    unit.Slots // of these, what bulk requests may use at once
	Service clock.Span // time that a request keeps a slot, zero if unknown
}

// Queue holds the requests that wait for the slots of one upstream set. The
// zero value is empty and ready to use.
type Queue[V any] struct {
	classes  [service.Long + 1]deadlines[V]
	sequence uint64
	waiting  int
}

// Len returns the requests that wait.
func (q *Queue[V]) Len() int { return q.waiting }

// LenOf returns the requests of class c that wait.
func (q *Queue[V]) LenOf(c service.Class) int { return len(q.classes[c]) }

// Offer lets item wait, or refuses it when its class is full or when it would
// be answered after its deadline.
func (q *Queue[V]) Offer(item *Item[V], now clock.Millis, c Capacity) *verdict.Error {
	if n := len(q.classes[item.Class]); n >= MaxPerClass {
		return refuse("queue of the class is full", c.drain(item.Class, n))
	}
	wait := q.wait(item, c)
	if now.Add(wait+c.Service) > item.Deadline {
		return refuse("deadline is sooner than the queue allows", wait)
	}
	q.sequence++
	item.sequence = q.sequence
	heap.Push(&q.classes[item.Class], item)
	q.waiting++
	return nil
}

func refuse(reason string, wait clock.Span) *verdict.Error {
	e := verdict.Refuse("%s", reason)
	e.RetryAfter = max(minRetryAfter, wait)
	return e
}

// wait estimates how long item would wait behind those that are served before
// it.
func (q *Queue[V]) wait(item *Item[V], c Capacity) clock.Span {
	ahead := 0
	for class := range item.Class {
		ahead += len(q.classes[class])
	}
	for _, other := range q.classes[item.Class] {
		if other.Deadline <= item.Deadline {
			ahead++
		}
	}
	return c.drain(item.Class, ahead+1)
}

// drain returns the time in which n requests of class are served.
func (c Capacity) drain(class service.Class, n int) clock.Span {
	slots := c.Slots
	if class == service.Bulk {
		slots = c.Bulk
	}
	return c.Service * clock.Span(n) / clock.Span(max(1, slots))
}

// Next returns the request that gets the next free slot, or nil. The request
// goes on waiting until it is removed. The most urgent class comes first, and
// in it the earliest deadline; bulk requests come only while bulkInFlight is
// below the share of c.
func (q *Queue[V]) Next(bulkInFlight unit.Slots, c Capacity) *Item[V] {
	for class := range q.classes {
		if service.Class(class) == service.Bulk && bulkInFlight >= c.Bulk {
			continue
		}
		if len(q.classes[class]) > 0 {
			return q.classes[class][0]
		}
	}
	return nil
}

// Expired returns a request that can't be answered in time any more, or nil.
// It goes on waiting until it is removed.
func (q *Queue[V]) Expired(now clock.Millis, c Capacity) *Item[V] {
	for class := range q.classes {
		if d := q.classes[class]; len(d) > 0 && now.Add(c.Service) > d[0].Deadline {
			return d[0]
		}
	}
	return nil
}

// Remove ends the wait of item and reports whether it waited.
func (q *Queue[V]) Remove(item *Item[V]) bool {
	if !item.Waits() {
		return false
	}
	heap.Remove(&q.classes[item.Class], item.place-1)
	q.waiting--
	return true
}

// deadlines is a heap with the earliest deadline first, then the oldest.
type deadlines[V any] []*Item[V]

var _ heap.Interface = (*deadlines[int])(nil)

// Len returns the number of items.
func (d deadlines[V]) Len() int { return len(d) }

// Less orders by deadline and arrival.
func (d deadlines[V]) Less(i, j int) bool {
	if d[i].Deadline != d[j].Deadline {
		return d[i].Deadline < d[j].Deadline
	}
	return d[i].sequence < d[j].sequence
}

// Swap exchanges two items.
func (d deadlines[V]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i+1, j+1
}

// Push appends an item.
func (d *deadlines[V]) Push(x any) {
	item := x.(*Item[V])
	*d = append(*d, item)
	item.place = len(*d)
}

// Pop removes the last item.
func (d *deadlines[V]) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	item.place = 0
	return item
}
