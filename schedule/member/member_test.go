package member

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const confirm = 2 * clock.Second

// TestHosts guards against hosts that are removed because the list lags or is
// empty, and against a leaving host that gets new work because the list still
// shows it as live.
func TestHosts(t *testing.T) {
	live := Listing{Address: "a", Role: RoleExecutor}
	leaving := live
	leaving.State = StateLeaving
	other := []Listing{{Address: "b"}}
	tests := map[string]struct {
		run     func(*Hosts)
		kept    bool
		leaving bool
		due     int // number of hosts to check
	}{
		"listed":             {run: func(*Hosts) {}, kept: true},
		"empty list":         {run: func(h *Hosts) { h.ApplyList(nil, 2) }, kept: true},
		"missing":            {run: func(h *Hosts) { h.ApplyList(other, 2) }, kept: true, due: 1},
		"missing, times out": {run: func(h *Hosts) { h.ApplyList(other, 2); h.ApplyCheck("a", false) }, kept: true, due: 1},
		"missing, refuses":   {run: func(h *Hosts) { h.ApplyList(other, 2); h.ApplyCheck("a", true) }},
		"listed, refuses":    {run: func(h *Hosts) { h.ApplyCheck("a", true) }, kept: true},
		"listed again":       {run: func(h *Hosts) { h.ApplyList(other, 2); h.ApplyList([]Listing{live, other[0]}, 3) }, kept: true},
		"listed as leaving":  {run: func(h *Hosts) { h.ApplyList([]Listing{leaving}, 2) }, kept: true, leaving: true},
		"list lags":          {run: func(h *Hosts) { h.MarkLeaving("a"); h.ApplyList([]Listing{live}, 2) }, kept: true, leaving: true},
		"started again": {
			run:  func(h *Hosts) { h.ApplyList([]Listing{leaving}, 2); h.ApplyList([]Listing{live}, 3) },
			kept: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h Hosts
			h.ApplyList([]Listing{live}, 1)
			tc.run(&h)
			r := h.Get("a")
			is.Equal(r != nil, tc.kept)
			is.True(r == nil || r.Leaving == tc.leaving)
			is.Equal(len(h.DueChecks(nil, 10, clock.Second)), tc.due)
			is.Equal(len(h.DueChecks(nil, 11, clock.Second)), 0) // at most one check in the interval
		})
	}
}

// TestPromiseNeeded guards against a confirmation that lacks the promise of a member
// which may have acknowledged an unknown member.
func TestPromiseNeeded(t *testing.T) {
	promise := Promise{From: 1000, Claiming: []unit.DataCentre{"hawick"}}
	tests := map[string]struct {
		row  Row
		want bool
	}{
		"running":                             {row: Row{Promise: promise}, want: true},
		"has left":                            {row: Row{Left: true}},
		"dead while the promise is valid":     {row: Row{Promise: promise, Dead: true, DeadAt: 2999}},
		"dead after the promise":              {row: Row{Promise: promise, Dead: true, DeadAt: 3000}, want: true},
		"dead without a promise":              {row: Row{Dead: true, DeadAt: 1}, want: true},
		"dead and the journal was read":       {row: Row{Dead: true, DeadAt: 3000, ReadSinceDead: true}},
		"dead while claiming the data centre": {row: Row{Promise: Promise{From: 1000, Claiming: []unit.DataCentre{"kelso"}}, Dead: true, DeadAt: 1001}, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(tc.row.PromiseNeeded("kelso", confirm), tc.want)
		})
	}
}

// TestAcknowledge guards against the acknowledgement of a new member while an
// owner that counts promises may not have received an update about that member.
// The new member is added at 100 ms, and earlier promises have expired 2,070 ms
// later.
func TestAcknowledge(t *testing.T) {
	tests := map[string]struct {
		merged Version // of the other member
		dead   bool
		now    clock.Millis
		want   bool
	}{
		"other has not merged it":      {now: 1000},
		"other has merged it":          {merged: 2, now: 1000, want: true},
		"other is dead":                {dead: true, now: 1000, want: true},
		"old promises have expired":    {now: 2170, want: true},
		"old promises are still valid": {now: 2169},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var m Table
			m.Add(Identity{Instance: "other"}, 0)
			m.Add(Identity{Instance: "new"}, 100).RecordIntroduction(100)
			other := m.Get("other")
			other.MergedVersion, other.Dead = tc.merged, tc.dead
			Acknowledge(&m, tc.now, confirm+70)
			is.New(t).Equal(m.Get("new").Acknowledged, tc.want)
		})
	}
}
