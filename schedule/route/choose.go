package route

import "math/rand/v2"

//go:generate go tool stringer -type=Outcome,Phase -linecomment -output=enums_string.go

// Outcome is the result of a choice.
type Outcome int

// The outcomes of a choice. Taken means that a slot was taken. If no group
// yields a slot, the highest outcome of the groups is returned: NoUpstream
// means that the request can reach no upstream in time, Full that no upstream
// has a free slot that the request may use, and BeyondGrant that an upstream
// has a free slot whose grant ends before the deadline.
const (
	NoUpstream  Outcome = iota // noUpstream
	Taken                      // taken
	Full                       // full
	BeyondGrant                // beyondGrant
)

// Policy computes the cost of candidates. The candidate with the lowest cost is
// chosen.
type Policy[Candidate any] interface {
	Cost(c Candidate) float64
}

// The policies for upstreams.
var (
	_ Policy[*Upstream] = ExpectedTime{}
	_ Policy[*Upstream] = LeastConnections{}
	_ Policy[*Upstream] = RoundRobin{}
)

// ExpectedTime is the policy whose cost is the expected time of one more
// request. This is the observed slowness per request in flight times the number
// of requests that would be in flight. The observed slowness includes the usual
// load of the upstream. Without the division by the requests in flight, the
// load of other processes would count twice, and the upstream would get no
// requests until the others are overloaded.
type ExpectedTime struct{}

// defaultSlownessPerRequest is the slowness per request in flight of an
// upstream without observations, in thousandths of the median of the service.
const defaultSlownessPerRequest = 1000

// Cost returns the expected time in thousandths of the median of the service.
func (ExpectedTime) Cost(u *Upstream) float64 {
	c := u.slownessPerRequest.Load()
	if c == 0 {
		c = defaultSlownessPerRequest
	}
	return float64(c) * float64(u.EstimatedInFlight()+1)
}

// LeastConnections is a baseline whose cost is the number of requests of this
// process in flight.
type LeastConnections struct{}

// Cost returns the number of requests of this process in flight.
func (LeastConnections) Cost(u *Upstream) float64 { return float64(u.InFlight()) }

// RoundRobin is a baseline that gives each upstream the same number of requests.
type RoundRobin struct{}

// Cost returns the number of requests that this process has sent to u.
func (RoundRobin) Cost(u *Upstream) float64 { return float64(u.sent.Load()) }

const (
	// defaultSampleSize is the number of candidates that a choice compares.
	defaultSampleSize = 4
	// maxRandomProbes is the number of random upstreams that are probed before
	// the free ones are counted.
	maxRandomProbes = 3
	// maxRounds is the maximum number of samples of a choice. A further sample
	// is taken if the take fails, such as after a lost race for the slot.
	maxRounds = 8
)

// Chooser chooses an upstream by a policy and takes a slot on it. With the zero
// SampleSize it compares a few random upstreams that have a free slot.
type Chooser[P Policy[*Upstream]] struct {
	Policy     P
	SampleSize int           // number of candidates to compare; zero for the default
	Rand       func() uint64 // random source; nil for the global one
}

// Choose takes a slot for q on an upstream of t. It tries the groups of t in their
// order and skips those that q cannot reach in time. It returns nil and the
// reason if it takes no slot.
func (c Chooser[P]) Choose(t *Target, q Query) (*Upstream, Outcome) {
	outcome := NoUpstream
	for _, g := range t.Groups {
		if !t.canReach(g, &q) {
			continue
		}
		u, o := c.chooseInGroup(t, g, &q)
		if o == Taken {
			return u, o
		}
		outcome = max(outcome, o)
	}
	return nil, outcome
}

// chooseInGroup takes a slot for q on an upstream of g.
func (c Chooser[P]) chooseInGroup(t *Target, g *Group, q *Query) (*Upstream, Outcome) {
	if len(g.upstreams) == 0 {
		return nil, NoUpstream
	}
	outcome := Full
	for range maxRounds {
		i := c.bestCandidate(t, g, q)
		if i < 0 {
			return nil, outcome
		}
		u := g.upstreams[i]
		taken := u.take(q.Deadline)
		g.updateFree(i)
		if taken {
			return u, Taken
		}
		if u.hasFreeSlot() {
			outcome = BeyondGrant
		}
	}
	return nil, outcome
}

// bestCandidate returns the index of the upstream with the lowest cost in a
// sample of the free ones that q may use, or -1 if there is none.
func (c Chooser[P]) bestCandidate(t *Target, g *Group, q *Query) int {
	k, n := c.SampleSize, len(g.upstreams)
	if k == 0 {
		k = defaultSampleSize
	}
	best, lowest := -1, 0.0
	free := notCounted // number of free upstreams, counted after the random probes have failed
	for j := 0; j < k && j < n; j++ {
		i := j // a sample as large as the group compares each upstream once
		if k < n {
			i, free = c.pickFree(g, j, k, free)
		}
		if free == 0 || free <= j && free != notCounted {
			break
		}
		if i < 0 || !g.free.has(i) || !t.allows(g.upstreams[i], q) {
			continue
		}
		if s := c.Policy.Cost(g.upstreams[i]); best < 0 || s < lowest {
			best, lowest = i, s
		}
	}
	if best < 0 && k < n && free != 0 {
		return c.firstAllowed(t, g, q)
	}
	return best
}

// notCounted means that the number of free upstreams has not been counted.
const notCounted = -1

// pickFree returns the index of a free upstream for candidate j of a sample of
// k, or -1. free is the number of free upstreams, or notCounted; counted is the
// new value of free. The choice is random, and all free upstreams are equally
// likely. A random probe is rejected if the upstream is not free. If all probes
// fail, the free upstreams are counted. If there are at most k of them,
// candidate j is the free upstream with rank j.
func (c Chooser[P]) pickFree(g *Group, j, k, free int) (index, counted int) {
	if free == notCounted {
		for range maxRandomProbes {
			if i := c.intN(len(g.upstreams)); g.free.has(i) {
				return i, notCounted
			}
		}
		free = g.free.count()
	}
	switch {
	case free == 0:
		return -1, 0
	case free <= k:
		return g.free.find(j), free
	default:
		return g.free.find(c.intN(free)), free
	}
}

// firstAllowed returns the index of a free upstream that q may use, or -1. It
// searches all free upstreams from a random rank on. It is used if the sample
// contained no upstream that q may use.
func (c Chooser[P]) firstAllowed(t *Target, g *Group, q *Query) int {
	n := g.free.count()
	if n == 0 {
		return -1
	}
	from := c.intN(n)
	for j := range n {
		if i := g.free.find((from + j) % n); i >= 0 && t.allows(g.upstreams[i], q) {
			return i
		}
	}
	return -1
}

// allows reports whether q may use u: q does not exclude u, and u is not in its
// trial or the service is idempotent.
func (t *Target) allows(u *Upstream, q *Query) bool {
	return !q.excludes(u) && (t.Service.Idempotent || !u.trial.Load())
}

// intN returns a random integer in [0, n).
func (c Chooser[P]) intN(n int) int {
	if c.Rand == nil {
		return rand.IntN(n)
	}
	return int(c.Rand() % uint64(n))
}
