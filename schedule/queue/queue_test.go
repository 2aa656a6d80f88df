package queue

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// Guards against requests that are served in the wrong order. The reference
// scans all waiting requests for the one to serve next.
func TestNextMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var ref []*Item[int]
		c := Capacity{Slots: 8, BulkSlots: 2, ServiceTime: 1}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				it := &Item[int]{Class: service.Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: clock.Millis(1000 + rapid.IntRange(0, 5).Draw(t, "deadline")), Value: step}
				if err := q.Offer(it, 0, c); err != nil {
					t.Fatal(err)
				}
				ref = append(ref, it)
			case 2:
				if len(ref) > 0 {
					i := rapid.IntRange(0, len(ref)-1).Draw(t, "removed")
					if !q.Remove(ref[i]) || q.Remove(ref[i]) {
						t.Fatal("an item is removed exactly once")
					}
					ref = append(ref[:i], ref[i+1:]...)
				}
			case 3:
				bulk := unit.Slots(rapid.IntRange(1, 2).Draw(t, "bulk in flight"))
				var want *Item[int]
				for _, it := range ref {
					if it.Class == service.Bulk && bulk >= 2 {
						continue
					}
					if want == nil || it.Class < want.Class || it.Class == want.Class && it.Deadline < want.Deadline {
						want = it
					}
				}
				if got := q.Next(bulk, c); got != want {
					t.Fatalf("got %v, want %v", got, want)
				}
			}
		}
		if q.Len() != len(ref) {
			t.Fatalf("length %d, want %d", q.Len(), len(ref))
		}
	})
}

// Guards against queued requests that can't meet their deadline, and against
// unbounded queues.
func TestOfferRefuses(t *testing.T) {
	c := Capacity{Slots: 4, BulkSlots: 1, ServiceTime: 100}
	tests := map[string]struct {
		urgent, bulk int // requests already in the queue
		item         Item[int]
		refused      bool
	}{
		"empty queue":                     {item: Item[int]{Deadline: 125}},
		"deadline before service time":    {item: Item[int]{Deadline: 124}, refused: true},
		"behind four":                     {urgent: 4, item: Item[int]{Deadline: 225}},
		"behind four, deadline too soon":  {urgent: 4, item: Item[int]{Deadline: 224}, refused: true},
		"bulk does not delay urgent work": {bulk: 50, item: Item[int]{Deadline: 125}},
		"bulk limited to its share":       {item: Item[int]{Deadline: 199, Class: service.Bulk}, refused: true},
		"urgent work delays bulk":         {urgent: 4, item: Item[int]{Deadline: 599, Class: service.Bulk}, refused: true},
		"class is full":                   {urgent: MaxPerClass, item: Item[int]{Deadline: clock.Never}, refused: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q Queue[int]
			for range tc.urgent {
				is.Equal(q.Offer(&Item[int]{Deadline: 100}, 0, Capacity{}), nil)
			}
			for range tc.bulk {
				is.Equal(q.Offer(&Item[int]{Deadline: 100, Class: service.Bulk}, 0, Capacity{}), nil)
			}
			err := q.Offer(&tc.item, 0, c)
			is.Equal(err != nil, tc.refused)
			is.Equal(tc.item.IsQueued(), !tc.refused)
			if err != nil {
				is.Equal(err.Verdict, verdict.DidNotRun)
				is.True(err.RetryAfter > 0)
			}
		})
	}
}

// Guards against requests that stay in the queue when they can no longer meet
// their deadline.
func TestUnservable(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	it := &Item[int]{Deadline: 100}
	is.Equal(q.Offer(it, 0, Capacity{ServiceTime: 10}), nil)
	is.Equal(q.Unservable(90, Capacity{ServiceTime: 10}), nil)
	is.Equal(q.Unservable(91, Capacity{ServiceTime: 10}), it)
}
