package queue

import (
	"container/heap"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// MaxPerClass is the maximum number of waiting requests in one class.
const MaxPerClass = 1024

// minRetryAfter is the minimum delay that a refused caller receives. It
// prevents immediate retries.
const minRetryAfter = 50 * clock.Millisecond

// Item is a request that waits for a slot. Class and Deadline must not change
// while the item is in a queue.
type Item[V any] struct {
	Class        service.Class
	Deadline     clock.Millis
	Value        V
	sequence     uint64
	heapPosition int // index in the heap plus 1; zero if the item is not queued
}

// IsQueued reports whether the item is in a queue.
func (i *Item[V]) IsQueued() bool { return i.heapPosition > 0 }

// Capacity describes the slots that serve a queue.
type Capacity struct {
	Slots       unit.Slots // total
	BulkSlots   unit.Slots // part of Slots that bulk requests may use at once
	ServiceTime clock.Span // time that a request occupies a slot; zero if unknown
}

// Queue holds the requests that wait for the slots of one upstream set. The
// zero value is empty and ready to use.
type Queue[V any] struct {
	heaps    [service.Long + 1]deadlineHeap[V]
	sequence uint64
	waiting  int
}

// Len returns the number of waiting requests.
func (q *Queue[V]) Len() int { return q.waiting }

// LenOf returns the number of waiting requests of class c.
func (q *Queue[V]) LenOf(c service.Class) int { return len(q.heaps[c]) }

// Offer adds item to the queue. It returns an error with the verdict
// [verdict.DidNotRun] and a retry delay if the class of the item is full, or if
// the estimated response time lies after the deadline.
func (q *Queue[V]) Offer(item *Item[V], now clock.Millis, c Capacity) *verdict.Error {
	if n := len(q.heaps[item.Class]); n >= MaxPerClass {
		return refuse("queue of the class is full", c.drainTime(item.Class, n))
	}
	wait := q.estimateWait(item, c)
	if now.Add(wait+c.ServiceTime) > item.Deadline {
		return refuse("deadline is sooner than the queue allows", wait)
	}
	q.sequence++
	item.sequence = q.sequence
	heap.Push(&q.heaps[item.Class], item)
	q.waiting++
	return nil
}

// refuse returns a DidNotRun error with a retry delay of wait, but at least
// minRetryAfter.
func refuse(reason string, wait clock.Span) *verdict.Error {
	e := verdict.Refuse("%s", reason)
	e.RetryAfter = max(minRetryAfter, wait)
	return e
}

// estimateWait returns the estimated time until item gets a slot. It counts the
// requests of more urgent classes and those of the same class whose deadline is
// not later.
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

// drainTime returns the time that the slots of class need to serve n requests.
func (c Capacity) drainTime(class service.Class, n int) clock.Span {
	slots := c.Slots
	if class == service.Bulk {
		slots = c.BulkSlots
	}
	return c.ServiceTime * clock.Span(n) / clock.Span(max(1, slots))
}

// Next returns the request that gets the next free slot, or nil if there is
// none. It prefers the most urgent class and, within a class, the earliest
// deadline. It skips bulk requests unless bulkInFlight is below c.BulkSlots.
// The request stays in the queue until [Queue.Remove] is called.
func (q *Queue[V]) Next(bulkInFlight unit.Slots, c Capacity) *Item[V] {
	for class := range q.heaps {
		if service.Class(class) == service.Bulk && bulkInFlight >= c.BulkSlots {
			continue
		}
		if len(q.heaps[class]) > 0 {
			return q.heaps[class][0]
		}
	}
	return nil
}

// Unservable returns a waiting request that can't be served before its deadline,
// because the deadline is less than c.ServiceTime away. It returns nil if there
// is none. The request stays in the queue until [Queue.Remove] is called.
func (q *Queue[V]) Unservable(now clock.Millis, c Capacity) *Item[V] {
	for class := range q.heaps {
		if h := q.heaps[class]; len(h) > 0 && now.Add(c.ServiceTime) > h[0].Deadline {
			return h[0]
		}
	}
	return nil
}

// Remove removes item from the queue and reports whether it was queued.
func (q *Queue[V]) Remove(item *Item[V]) bool {
	if !item.IsQueued() {
		return false
	}
	heap.Remove(&q.heaps[item.Class], item.heapPosition-1)
	q.waiting--
	return true
}

// deadlineHeap is a heap of items. The earliest deadline comes first; items
// with equal deadlines are in order of arrival.
type deadlineHeap[V any] []*Item[V]

var _ heap.Interface = (*deadlineHeap[int])(nil)

// Len returns the number of items.
func (d deadlineHeap[V]) Len() int { return len(d) }

// Less orders items by deadline, then by arrival.
func (d deadlineHeap[V]) Less(i, j int) bool {
	if d[i].Deadline != d[j].Deadline {
		return d[i].Deadline < d[j].Deadline
	}
	return d[i].sequence < d[j].sequence
}

// Swap exchanges two items and updates their heap positions.
func (d deadlineHeap[V]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapPosition, d[j].heapPosition = i+1, j+1
}

// Push appends an item. Only container/heap calls it.
func (d *deadlineHeap[V]) Push(x any) {
	item := x.(*Item[V])
	*d = append(*d, item)
	item.heapPosition = len(*d)
}

// Pop removes and returns the last item. Only container/heap calls it.
func (d *deadlineHeap[V]) Pop() any {
	last := len(*d) - 1
	item := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	item.heapPosition = 0
	return item
}
