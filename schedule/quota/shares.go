package quota

import (
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Team is one row in the table of teams. A team without a quota borrows
// everything that is allocated to it.
type Team struct {
	Quota     unit.Resources `json:"quota"`
	Allocated unit.Resources `json:"used"`
}

// Borrows reports whether the team would exceed its quota with more in addition
// to its allocated resources.
func (t *Team) Borrows(more unit.Resources) bool { return !t.Allocated.Add(more).Fits(t.Quota) }

// Shares holds the quotas and the allocated resources of the teams, from which
// it computes their shares. The zero value has no teams.
type Shares struct {
	Teams         table.Table[unit.Team, Team]
	TotalCapacity unit.Resources // of the whole data centre
}

// Acquire adds r to the allocated resources of a team.
func (s *Shares) Acquire(team unit.Team, r unit.Resources) {
	t := s.Teams.Ensure(team)
	t.Allocated = t.Allocated.Add(r)
}

// Release subtracts r from the allocated resources of a team.
func (s *Shares) Release(team unit.Team, r unit.Resources) {
	t := s.Teams.Ensure(team)
	t.Allocated = t.Allocated.Sub(r)
}

// DominantShare returns the dominant share of a team: the largest ratio of its
// allocated resources to the total capacity over all resources. A resource of
// which there is none does not count.
func (s *Shares) DominantShare(team unit.Team) float64 {
	t := s.Teams.Get(team)
	if t == nil {
		return 0
	}
	return LargestFraction(t.Allocated, s.TotalCapacity)
}

// LargestFraction returns the largest ratio of r to total over all resources.
// Resources of which total has none are skipped.
func LargestFraction(r, total unit.Resources) float64 {
	share := 0.0
	if total.CPU > 0 {
		share = float64(r.CPU) / float64(total.CPU)
	}
	if total.Memory > 0 {
		share = max(share, float64(r.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(r.Accelerators)/float64(total.Accelerators))
	}
	return share
}

// Priority is the rank of a team in the order of service.
type Priority struct {
	Borrows       bool
	DominantShare float64
}

// PriorityOf returns the priority of a team that requests size. A zero size
// compares teams by what is allocated to them now.
func (s *Shares) PriorityOf(team unit.Team, size unit.Resources) Priority {
	t := s.Teams.Ensure(team)
	return Priority{t.Borrows(size), LargestFraction(t.Allocated, s.TotalCapacity)}
}

// Before reports whether a team with priority p is served before one with
// priority o. Teams within their quota come first, then teams with the
// smaller dominant share.
func (p Priority) Before(o Priority) bool {
	if p.Borrows != o.Borrows {
		return !p.Borrows
	}
	return p.DominantShare < o.DominantShare
}
