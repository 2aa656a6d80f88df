package maintenance

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// site carries out the actions of a plan.
type site struct {
	plan  Plan
	now   clock.Millis
	down  map[unit.Machine]clock.Millis // until when
	begun map[unit.Machine]int
	runs  map[unit.Machine]Evacuation
	gone  map[unit.Machine]bool
	most  int // machines that were down at once
	told  []StatusOfAWave

	lose    bool // answers to orders are lost
	listErr error
	refuse  map[unit.Machine]Outcome
}

func newSite(w Wave) *site {
	s := &site{
		now: 1000, down: make(map[unit.Machine]clock.Millis), begun: make(map[unit.Machine]int), runs: make(map[unit.Machine]Evacuation),
		gone: make(map[unit.Machine]bool), refuse: make(map[unit.Machine]Outcome),
	}
	s.plan.Add(s.now, w)
	return s
}

func (s *site) isDown(m unit.Machine) bool { return s.now < s.down[m] }

func (s *site) list(w Wave) []Machine {
	var out []Machine
	for _, m := range w.Machines {
		if !s.gone[m] {
			out = append(out, Machine{m, unit.Executor(fmt.Sprintf("%s-%d", m, s.begun[m])), !s.isDown(m)})
		}
	}
	return out
}

func (s *site) pass(w Wave, span clock.Span) {
	for end := s.now.Add(span); s.now < end; s.now += 50 {
		for _, a := range s.plan.Turn(s.now) {
			switch {
			case a.List:
				s.plan.Listed(s.now, s.list(w), s.listErr)
			case a.Evacuate != nil:
				s.plan.Evacuated(*a.Evacuate, s.runs[a.Evacuate.Machine], nil)
			case a.Begin != nil:
				s.begin(*a.Begin)
			case a.Report != nil:
				s.told = append(s.told, *a.Report)
			}
		}
		n := 0
		for m := range s.down {
			if s.isDown(m) {
				n++
			}
		}
		s.most = max(s.most, n)
	}
}

func (s *site) begin(b Begin) {
	if o, ok := s.refuse[b.Machine]; ok {
		s.plan.Answered(s.now, b, o)
		return
	}
	if s.begun[b.Machine] == 0 {
		s.begun[b.Machine]++
		s.down[b.Machine] = s.now.Add(2000)
	}
	o := Begun
	if s.lose {
		s.lose, o = false, Unknown
	}
	s.plan.Answered(s.now, b, o)
}

func machines(n int) []unit.Machine {
	var out []unit.Machine
	for i := range n {
		out = append(out, unit.Machine(fmt.Sprintf("m%d", i)))
	}
	return out
}

// Guards against waves that take down too many machines, tasks that can't be
// spared, or that are said to be completed too early.
func TestWave(t *testing.T) {
	for name, c := range map[string]struct {
		machines int
		most     int
		prepare  func(*site)
		span     clock.Span
		begun    int
		done     bool
	}{
		"one by one":         {3, 1, func(*site) {}, 12_000, 3, true},
		"two at once":        {6, 2, func(*site) {}, 12_000, 6, true},
		"no limit named":     {2, 0, func(*site) {}, 8_000, 2, true},
		"answer lost":        {2, 1, func(s *site) { s.lose = true }, 12_000, 2, true},
		"list fails":         {2, 1, func(s *site) { s.listErr = errors.New("down") }, 9_000, 0, false},
		"machine is gone":    {2, 1, func(s *site) { s.gone["m0"] = true }, 8_000, 1, true},
		"not of the wave":    {2, 1, func(s *site) { s.refuse["m1"] = Excluded }, 8_000, 1, true},
		"busy":               {2, 1, func(s *site) { s.refuse["m0"] = Busy }, 8_000, 0, false},
		"fenced":             {2, 1, func(s *site) { s.refuse["m0"] = Fenced }, 8_000, 0, false},
		"long tasks":         {2, 1, func(s *site) { s.runs["m0"] = Evacuation{Left: 3} }, 16_000, 2, true},
		"task is not spared": {2, 1, func(s *site) { s.runs["m0"] = Evacuation{Left: 3, Held: 1} }, 20_000, 0, false},
		"down before": {2, 1, func(s *site) {
			s.begun["m0"], s.down["m0"] = 1, s.now.Add(2000)
		}, 12_000, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := Wave{1, machines(c.machines), 30_000, c.most}
			s := newSite(w)
			c.prepare(s)
			s.pass(w, c.span)
			begun := 0
			for _, n := range s.begun {
				begun += n
			}
			is.Equal(begun, c.begun)
			is.True(s.most <= max(1, c.most))
			is.Equal(!s.plan.Open(), c.done)
			if c.done {
				is.Equal(s.told[len(s.told)-1], StatusOfAWave{1, true})
				for _, m := range w.Machines {
					is.True(!s.isDown(m)) // completed once all are back
				}
			}
		})
	}
}

// Guards against a wave that a successor plays again.
func TestKnownWavesStayCompleted(t *testing.T) {
	is := is.New(t)
	w := Wave{4, machines(2), 10_000, 1}
	s := newSite(w)
	s.plan.Known(StatusOfAWave{4, true})
	s.pass(w, 5000)
	is.Equal(len(s.told), 0)
	is.Equal(len(s.begun), 0)
	s.plan.Add(s.now, w) // the operator's record is read again
	is.True(!s.plan.Open())
}
