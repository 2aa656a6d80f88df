package quota

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// Guards against shares that differ from dominant resource fairness, with
// the example of Ghodsi et al., section 4.1, and with quotas.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		total  unit.Resources
		demand map[unit.Team]unit.Resources
		quota  map[unit.Team]unit.Resources
		want   map[unit.Team]int
	}{
		"example of the paper": {
			total:  unit.Resources{CPU: 9, Memory: 18},
			demand: map[unit.Team]unit.Resources{"a": {CPU: 1, Memory: 4}, "b": {CPU: 3, Memory: 1}},
			want:   map[unit.Team]int{"a": 3, "b": 2},
		},
		"quota goes before borrowing": {
			total:  unit.Resources{CPU: 10, Memory: 10},
			demand: map[unit.Team]unit.Resources{"a": {CPU: 1, Memory: 1}, "b": {CPU: 1, Memory: 1}},
			quota:  map[unit.Team]unit.Resources{"a": {CPU: 8, Memory: 8}, "b": {CPU: 2, Memory: 2}},
			want:   map[unit.Team]int{"a": 8, "b": 2},
		},
		"idle quota is borrowed": {
			total:  unit.Resources{CPU: 10, Memory: 10},
			demand: map[unit.Team]unit.Resources{"b": {CPU: 1, Memory: 1}},
			quota:  map[unit.Team]unit.Resources{"a": {CPU: 8, Memory: 8}, "b": {CPU: 2, Memory: 2}},
			want:   map[unit.Team]int{"b": 10},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Shares{TotalCapacity: tc.total}
			for team, q := range tc.quota {
				s.Teams.Ensure(team).Quota = q
			}
			got, free := map[unit.Team]int{}, tc.total
			for {
				var best unit.Team
				for _, team := range []unit.Team{"a", "b"} {
					d, ok := tc.demand[team]
					if ok && d.Fits(free) && (best == "" || s.PriorityOf(team, d).Before(s.PriorityOf(best, tc.demand[best]))) {
						best = team
					}
				}
				if best == "" {
					break
				}
				s.Acquire(best, tc.demand[best])
				free = free.Sub(tc.demand[best])
				got[best]++
			}
			is.Equal(got, tc.want)
			for team, n := range got {
				for range n {
					s.Release(team, tc.demand[team])
				}
				is.Equal(s.DominantShare(team), 0.0)
			}
		})
	}
}
