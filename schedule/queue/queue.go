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
	Class        service.Class
	Deadline     clock.Millis
	Value        V
	sequence     uint64
	heapPosition int // index in its heap plus 1, zero if it does not wait
}

// IsQueued reports whether the item is in a queue.
func (i *Item[V]) IsQueued() bool { return i.heapPosition > 0 }

// Capacity is what a queue is served with.
type Capacity struct {
	Slots   unit.Slots // held in all
	Bulk    unit.Slots // of these, what bulk requests may use at once
	Service clock.Span // time that a request keeps a slot, zero if unknown
}

// Queue holds the requests that wait for the slots of one upstream set. The
// zero value is empty and ready to use.
type Queue[V any] struct {
	heaps    [service.Long + 1]deadlineHeap[V]
	sequence uint64
	waiting  int
}

// Len returns the requests that wait.
func (q *Queue[V]) Len() int { return q.waiting }

// LenOf returns the requests of class c that wait.
func (q *Queue[V]) LenOf(c service.Class) int { return len(q.heaps[c]) }

// Offer lets item wait, or refuses it when its class is full or when it would
// be answered after its deadline.
func (q *Queue[V]) Offer(item *Item[V], now clock.Millis, c Capacity) *verdict.Error {
	if n := len(q.heaps[item.Class]); n >= MaxPerClass {
		return refuse("queue of the class is full", c.drainTime(item.Class, n))
	}
	wait := q.estimateWait(item, c)
	if now.Add(wait+c.Service) > item.Deadline {
		return refuse("deadline is sooner than the queue allows", wait)
	}
	q.sequence++
	item.sequence = q.sequence
	heap.Push(&q.heaps[item.Class], item)
	q.waiting++
	return nil
}

func refuse(reason string, wait clock.Span) *verdict.Error {
	e := verdict.Refuse("%s", reason)
	e.RetryAfter = max(minRetryAfter, wait)
	return e
}

// estimateWait estimates how long item would wait behind those that are served before
// it.
func (q *Queue[V]) estimateWait(item *Item[V], c Capacity) clock.Span {
	ahead := 0
	for class := range item.Class {
		ahead += len(q.heaps[class])
	}
	for _, other := range q.heaps[item.Class] {
		if other.Deadline <= item.Deadline {
			ahead++
		}
	}
	return c.drainTime(item.Class, ahead+1)
}

// drainTime returns the time in which n requests of class are served.
func (c Capacity) drainTime(class service.Class, n int) clock.Span {
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
	for class := range q.heaps {
		if service.Class(class) == service.Bulk && bulkInFlight >= c.Bulk {
			continue
		}
		if len(q.heaps[class]) > 0 {
			return q.heaps[class][0]
		}
	}
	return nil
}

// Expired returns a request that can't be answered in time any more, or nil.
// It goes on waiting until it is removed.
func (q *Queue[V]) Expired(now clock.Millis, c Capacity) *Item[V] {
	for class := range q.heaps {
		if h := q.heaps[class]; len(h) > 0 && now.Add(c.Service) > h[0].Deadline {
			return h[0]
		}
	}
	return nil
}

// Remove ends the wait of item and reports whether it waited.
func (q *Queue[V]) Remove(item *Item[V]) bool {
	if !item.IsQueued() {
		return false
	}
	heap.Remove(&q.heaps[item.Class], item.heapPosition-1)
	q.waiting--
	return true
}

// deadlineHeap is a heap with the earliest deadline first, then the oldest.
type deadlineHeap[V any] []*Item[V]

var _ heap.Interface = (*deadlineHeap[int])(nil)

// Len returns the number of items.
func (d deadlineHeap[V]) Len() int { return len(d) }

// Less orders by deadline and arrival.
func (d deadlineHeap[V]) Less(i, j int) bool {
	if d[i].Deadline != d[j].Deadline {
		return d[i].Deadline < d[j].Deadline
	}
	return d[i].sequence < d[j].sequence
}

// Swap exchanges two items.
func (d deadlineHeap[V]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapPosition, d[j].heapPosition = i+1, j+1
}

// Push appends an item.
func (d *deadlineHeap[V]) Push(x any) {
	item := x.(*Item[V])
	*d = append(*d, item)
	item.heapPosition = len(*d)
}

// Pop removes the last item.
func (d *deadlineHeap[V]) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	item.heapPosition = 0
	return item
}
