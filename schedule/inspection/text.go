package inspection

import (
	"fmt"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Text returns the findings about a services text without faults.
func Text(t *service.Text) Findings {
	var f Findings
	f.checkSets(t)
	f.checkTeams(t)
	for i := range t.Kinds {
		f.checkKind(t, &t.Kinds[i])
	}
	return f
}

// checkSets finds upstream sets that no service uses, and data centres that are lost
// while upstreams of theirs are listed.
func (f *Findings) checkSets(t *service.Text) {
	used := make(map[string]bool)
	for i := range t.Services {
		used[t.Services[i].UpstreamSet] = true
	}
	for i := range t.UpstreamSets {
		set := &t.UpstreamSets[i]
		entry := fmt.Sprintf("upstream set %q", set.Name)
		if !used[set.Name] {
			f.add(Warning, entry, "no service uses it")
		}
		for _, m := range set.Members {
			if d := t.DataCentre(m.DataCentre); d != nil && d.Lost {
				f.add(Warning, entry, "upstream %s is in data centre %q, which is lost", m.Address, m.DataCentre)
			}
		}
	}
}

// checkTeams finds limits of a team that contradict each other, and teams that own
// nothing.
func (f *Findings) checkTeams(t *service.Text) {
	owners := make(map[unit.Team]bool)
	for i := range t.Services {
		owners[t.Services[i].Team] = true
	}
	for i := range t.Kinds {
		owners[t.Kinds[i].Team] = true
	}
	for i := range t.Teams {
		m := &t.Teams[i]
		entry := fmt.Sprintf("team %q", m.Name)
		if !owners[m.Name] {
			f.add(Warning, entry, "owns no service and no kind")
		}
		if m.RequestsPerSecond > 0 && m.CallerPerSecond > m.RequestsPerSecond {
			f.add(Warning, entry, "each caller may send %g requests a second, the team only %g", m.CallerPerSecond, m.RequestsPerSecond)
		}
		if m.Concurrent > 0 && m.CallerConcurrent > m.Concurrent {
			f.add(Warning, entry, "each caller may have %d requests in flight, the team only %d", m.CallerConcurrent, m.Concurrent)
		}
	}
}

// checkKind finds tasks that never fit, and checkpoints that never come.
func (f *Findings) checkKind(t *service.Text, k *service.Kind) {
	entry := fmt.Sprintf("kind %q", k.Name)
	if team := t.Team(k.Team); team != nil && !k.Resources.Fits(team.Quota) {
		f.add(Error, entry, "a task needs more than the quota of team %q, so that none runs", k.Team)
	}
	if k.ExpectedMs > 0 && k.CheckpointMs >= k.ExpectedMs {
		f.add(Warning, entry, "checkpoints are made each %d ms, and a task takes %d ms", k.CheckpointMs, k.ExpectedMs)
	}
}
