package control

import (
	"testing"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

const going = "10.0.1.0:80" // an upstream of dc1

// leavingList is the platform's list with the upstream as leaving or missing.
func leavingList(state member.State, missing bool) HostList {
	list := []member.Listing{{Address: "10.9.9.9:1", Role: member.Worker}}
	if !missing {
		list = append(list, member.Listing{Address: going, DataCentre: "dc1", Role: member.Executor, State: state})
	}
	return HostList{list}
}

// Guards against new work for an upstream 3 s after the first notice that it is
// leaving, and against an upstream that is dropped because the list lacks it.
func TestLeavingUpstream(t *testing.T) {
	tests := map[string]struct {
		tell func(m *model)
		kept bool
	}{
		"told to the owner":        {tell: func(m *model) { m.procs[single].apply(HostLeaving{going}) }},
		"told to one holder":       {tell: func(m *model) { m.procs[0].apply(HostLeaving{going}) }},
		"listed to one process":    {tell: func(m *model) { m.procs[single].apply(leavingList(member.Leaving, false)) }},
		"listed as live":           {tell: func(m *model) { m.procs[single].apply(leavingList(member.Live, false)) }, kept: true},
		"missing in the list":      {tell: func(m *model) { m.procs[single].apply(leavingList(member.Live, true)) }, kept: true},
		"the list is empty at all": {tell: func(m *model) { m.procs[single].apply(HostList{}) }, kept: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(1, quiet())
			m.runTo(12_000)
			tc.tell(m)
			m.runTo(m.now.Add(3 * clock.Second))
			held := unit.Slots(0)
			for _, p := range m.procs {
				held += p.loop.state.upstreams.Get(going).upstream.Slots.Room(p.Now())
			}
			if (held > 0) != tc.kept {
				t.Errorf("%d slots are held after 3 s", held)
			}
		})
	}
}
