package control

import (
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

const leavingUpstream = "10.0.1.0:80" // an upstream of dc1

// leavingList returns the platform's list with the upstream in the given state,
// or without the upstream if missing is set.
func leavingList(state member.State, missing bool) HostList {
	list := []member.Listing{{Address: "10.9.9.9:1", Role: member.RoleWorker}}
	if !missing {
		list = append(list, member.Listing{Address: leavingUpstream, DataCentre: "dc1", Role: member.RoleExecutor, State: state})
	}
	return HostList{list}
}

// Guards against new grants for an upstream 3 s after the first notice that it
// is leaving, and against the removal of an upstream only because it is missing
// from the list.
func TestLeavingUpstream(t *testing.T) {
	tests := map[string]struct {
		notify   func(m *model)
		wantHeld bool
	}{
		"notice to the owner":              {notify: func(m *model) { m.procs[singleIndex].apply(HostLeaving{leavingUpstream}) }},
		"notice to one holder":             {notify: func(m *model) { m.procs[0].apply(HostLeaving{leavingUpstream}) }},
		"listed as leaving to one process": {notify: func(m *model) { m.procs[singleIndex].apply(leavingList(member.StateLeaving, false)) }},
		"listed as live":                   {notify: func(m *model) { m.procs[singleIndex].apply(leavingList(member.StateLive, false)) }, wantHeld: true},
		"missing from the list":            {notify: func(m *model) { m.procs[singleIndex].apply(leavingList(member.StateLive, true)) }, wantHeld: true},
		"empty list":                       {notify: func(m *model) { m.procs[singleIndex].apply(HostList{}) }, wantHeld: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(1, scenarioConfig())
			m.runTo(12_000)
			tc.notify(m)
			m.runTo(m.now.Add(3 * clock.Second))
			held := unit.Slots(0)
			for _, p := range m.procs {
				held += p.loop.state.upstreams.Get(leavingUpstream).upstream.Slots.UsableSlots(p.Now())
			}
			if (held > 0) != tc.wantHeld {
				t.Errorf("unexpected grants: %d slots held after 3 s", held)
			}
		})
	}
}
