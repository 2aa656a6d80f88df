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

// Cost scores by expected time: observed slowness times the requests that would
// be in flight.
type Cost struct{}

// unknownSlowness stands in until an upstream was observed.
const unknownSlowness = 1000

// Score returns the expected time in thousandths of the median.
func (Cost) Score(u *Upstream) float64 {
	s := u.slow.Load()
	if s == 0 {
		s = unknownSlowness
	}
	return float64(s) * float64(u.Busyness()+1)
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
	// defaultSample is how many candidates a choice compares.
	defaultSample = 4
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
	out := NoUpstream
	for _, g := range t.Groups {
		if !t.reaches(g, &q) {
			continue
		}
		u, o := c.inGroup(t, g, &q)
		if o == Taken {
			return u, o
		}
		out = max(out, o)
	}
	return nil, out
}

func (c Chooser[P]) inGroup(t *Target, g *Group, q *Query) (*Upstream, Outcome) {
	if len(g.upstreams) == 0 {
		return nil, NoUpstream
	}
	out := Full
	for range maxRounds {
		i := c.best(t, g, q)
		if i < 0 {
			return nil, out
		}
		u := g.upstreams[i]
		taken := u.take(q.Deadline)
		g.settle(i)
		if taken {
			return u, Taken
		}
		if u.open() {
			out = BeyondGrant
		}
	}
	return nil, out
}

// best returns the index of the candidate with the lowest score among a sample
// of the free ones, or -1.
func (c Chooser[P]) best(t *Target, g *Group, q *Query) int {
	n := g.free.count()
	k := c.Sample
	if k == 0 {
		k = defaultSample
	}
	best, low := -1, 0.0
	for j := range min(k, n) {
		rank := j // a sample as large as the group looks at each once
		if k < n {
			rank = c.intN(n)
		}
		i := g.free.find(rank)
		if i < 0 || !t.allows(g.upstreams[i], q) {
			continue
		}
		if s := c.Policy.Score(g.upstreams[i]); best < 0 || s < low {
			best, low = i, s
		}
	}
	if best < 0 && k < n {
		return t.firstAllowed(g, q, c.intN(n), n)
	}
	return best
}

// allows reports whether q may go to u at all.
func (t *Target) allows(u *Upstream, q *Query) bool {
	return !q.excludes(u) && (t.Service.Idempotent || !u.trial.Load())
}

// firstAllowed returns the index of the first free upstream from a rank on that
// q may go to, or -1. It serves a sample that hit excluded upstreams only.
func (t *Target) firstAllowed(g *Group, q *Query, from, n int) int {
	for j := range n {
		if i := g.free.find((from + j) % n); i >= 0 && t.allows(g.upstreams[i], q) {
			return i
		}
	}
	return -1
}

func (c Chooser[P]) intN(n int) int {
	if c.Rand == nil {
		return rand.IntN(n)
	}
	return int(c.Rand() % uint64(n))
}
