package front

import (
	"cmp"
	"expvar"
	"slices"

	"mimosadock/schedule/unit"
)

// decisionCounts counts the decisions about requests, by decision.
var decisionCounts = expvar.NewMap("front.decisions")

// countDecision increments the counter of decision.
func countDecision(decision string) { decisionCounts.Add(decision, 1) }

// State is the state of the request path in the state dump.
type State struct {
	InFlight int          `json:"inFlight"`
	Refusing bool         `json:"refusing"`
	Queues   []QueueState `json:"queues"`
}

// QueueState holds the numbers of requests and slots of one upstream set.
type QueueState struct {
	Set       string `json:"set"`
	Waiting   int64  `json:"waiting"`
	Active    int64  `json:"active"` // urgent and standard
	Bulk      int64  `json:"bulk"`
	Slots     int64  `json:"slots"`
	BulkShare int64  `json:"bulkShare"`
}

// State returns the requests in flight and the queues, sorted by upstream set.
func (f *Front) State() State {
	s := State{InFlight: f.InFlight(), Refusing: f.refusing.Load(), Queues: []QueueState{}}
	f.dispatchers.Range(func(set, value any) bool {
		d := value.(*dispatcher)
		s.Queues = append(s.Queues, QueueState{set.(string), d.waiting.Load(), d.nonBulkInFlight.Load(), d.bulkInFlight.Load(), d.totalSlots.Load(), d.bulkSlots.Load()})
		return true
	})
	slices.SortFunc(s.Queues, func(a, b QueueState) int { return cmp.Compare(a.Set, b.Set) })
	return s
}

// Waiting returns the number of requests that wait for a slot of an upstream
// set.
func (f *Front) Waiting(set string) unit.Slots {
	d, ok := f.dispatchers.Load(set)
	if !ok {
		return 0
	}
	return unit.Slots(d.(*dispatcher).waiting.Load())
}
