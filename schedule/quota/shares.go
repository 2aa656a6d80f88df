package quota

import (
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Team is one row of the table of teams. A zero quota owns nothing; all that
// the team uses is borrowed.
type Team struct {
	Quota unit.Resources `json:"quota"`
	Used  unit.Resources `json:"used"`
}

// Borrows reports whether the team would use more than its quota with more.
func (t *Team) Borrows(more unit.Resources) bool { return !t.Used.Add(more).Fits(t.Quota) }

// Shares holds what the teams use of a total. The zero value has no teams.
type Shares struct {
	Teams    table.Table[unit.Team, Team]
	Capacity unit.Resources
}

// Acquire notes that a team uses r more.
func (s *Shares) Acquire(team unit.Team, r unit.Resources) {
	t := s.Teams.Ensure(team)
	t.Used = t.Used.Add(r)
}

// Release notes that a team uses r less.
func (s *Shares) Release(team unit.Team, r unit.Resources) {
	t := s.Teams.Ensure(team)
	t.Used = t.Used.Sub(r)
}

// DominantShare returns the dominant share of a team: the greatest part of any
// resource of the total that it uses. A resource of which there is none does
// not count.
func (s *Shares) DominantShare(team unit.Team) float64 {
	t := s.Teams.Get(team)
	if t == nil {
		return 0
	}
	return ShareOf(t.Used, s.Capacity)
}

// ShareOf returns the greatest part of any resource of total that r is.
func ShareOf(r, total unit.Resources) float64 {
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

// Priority is what decides which team is served next.
type Priority struct {
	Borrows       bool
	DominantShare float64
}

// PriorityOf returns the claim of a team to size more.
func (s *Shares) PriorityOf(team unit.Team, size unit.Resources) Priority {
	t := s.Teams.Ensure(team)
	return Priority{t.Borrows(size), ShareOf(t.Used, s.Capacity)}
}

// Before reports whether c is served before o: teams within their quota first,
// then by dominant share.
func (c Priority) Before(o Priority) bool {
	if c.Borrows != o.Borrows {
		return !c.Borrows
	}
	return c.DominantShare < o.DominantShare
}
