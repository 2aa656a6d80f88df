package route

import "math/rand/v2"

//go:generate go tool stringer -type=Outcome,Phase -linecomment -output=enums_string.go

// Outcome tells how a choice ended.
type Outcome int

// The outcomes of a choice.
const (
	NoUpstream  Outcome = iota // noUpstream
	Taken                      // taken
	Full                       // full
	BeyondGrant                // beyondGrant
)

// Policy scores a candidate. The candidate with the lowest score is chosen.
type Policy[Candidate any] interface {
	Score(c Candidate) float64
}

// Compile-time assertions.
var (
	_ Policy[*Upstream] = Cost{}
	_ Policy[*Upstream] = LeastConnections{}
	_ Policy[*Upstream] = RoundRobin{}
)

// Cost scores by the expected time of one more request: the observed slowness
// per request in flight, times the requests that would be in flight. The
// observed slowness already contains the usual load of the upstream; without
// the division an upstream that others load would count twice and get nothing,
// until the rest is overloaded.
type Cost struct{}

// defaultCost stands in until an upstream was observed.
const defaultCost = 1000

// Score returns the expected time in thousandths of the median.
func (Cost) Score(u *Upstream) float64 {
	c := u.cost.Load()
	if c == 0 {
		c = defaultCost
	}
	return float64(c) * float64(u.Busyness()+1)
}

// LeastConnections is the baseline that looks at the process's own requests in
// flight only.
type LeastConnections struct{}

// Score returns the requests in flight.
func (LeastConnections) Score(u *Upstream) float64 { return float64(u.InFlight()) }

// RoundRobin is the baseline that gives each upstream the same number of
// requests.
type RoundRobin struct{}

// Score returns the requests sent so far.
func (RoundRobin) Score(u *Upstream) float64 { return float64(u.sent.Load()) }

const (
	// defaultSampleSize is how many candidates a choice compares.
	defaultSampleSize = 4
	// maxRandomProbes is how often a random upstream is tried before the free ones are
	// counted.
	maxRandomProbes = 3
	// maxRounds bounds the samples of a choice that loses races for a slot.
	maxRounds = 8
)

// Chooser takes slots by a policy. The zero value compares a few random
// upstreams that have a free slot.
type Chooser[P Policy[*Upstream]] struct {
	Policy P
	Sample int           // candidates to compare; zero for the default
	Rand   func() uint64 // nil for the global source
}

// Choose takes a slot for q on an upstream of t.
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

// bestCandidate returns the index of the candidate with the lowest score among a sample
// of the free ones, or -1.
func (c Chooser[P]) bestCandidate(t *Target, g *Group, q *Query) int {
	k, n := c.Sample, len(g.upstreams)
	if k == 0 {
		k = defaultSampleSize
	}
	best, lowest := -1, 0.0
	free := notCounted // how many are free, once the guesses have failed
	for j := 0; j < k && j < n; j++ {
		i := j // a sample as large as the group looks at each once
		if k < n {
			i, free = c.pickFree(g, j, k, free)
		}
		if free == 0 || free <= j && free != notCounted {
			break
		}
		if i < 0 || !g.free.has(i) || !t.allows(g.upstreams[i], q) {
			continue
		}
		if s := c.Policy.Score(g.upstreams[i]); best < 0 || s < lowest {
			best, lowest = i, s
		}
	}
	if best < 0 && k < n && free != 0 {
		return c.firstAllowed(t, g, q)
	}
	return best
}

const notCounted = -1

// pickFree returns a random free upstream, or -1. All free ones are equally likely:
// a guess is rejected if it is not free, and when the guesses fail the free ones
// are counted. If there are no more of them than the k of the sample, pick j is
// the one with rank j.
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

// firstAllowed returns the first free upstream from a random rank on that q may
// go to, or -1. It serves a sample that hit excluded upstreams only.
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

// allows reports whether q may go to u at all.
func (t *Target) allows(u *Upstream, q *Query) bool {
	return !q.excludes(u) && (t.Service.Idempotent || !u.trial.Load())
}

func (c Chooser[P]) intN(n int) int {
	if c.Rand == nil {
		return rand.IntN(n)
	}
	return int(c.Rand() % uint64(n))
}
