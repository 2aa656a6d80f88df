package tenure

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

// claim returns a claim of the data centre kelso.
func claim(epoch unit.Epoch, by unit.Instance, cleared unit.Epoch) Claim {
	return Claim{DataCentre: "kelso", Epoch: epoch, Instance: by, ClearedBelow: cleared}
}

// TestTableAdd guards against readers of the journal that arrive at different
// owners, and against former owners that are removed while their rights may
// last.
func TestTableAdd(t *testing.T) {
	tests := map[string]struct {
		claims  []Claim
		owner   unit.Instance
		formers int
	}{
		"first claim wins":         {claims: []Claim{claim(1, "a", 0), claim(1, "b", 0)}, owner: "a"},
		"higher epoch wins":        {claims: []Claim{claim(1, "a", 0), claim(2, "b", 0)}, owner: "b", formers: 1},
		"repeated":                 {claims: []Claim{claim(1, "a", 0), claim(1, "a", 0)}, owner: "a"},
		"received from peer first": {claims: []Claim{claim(3, "c", 0), claim(1, "a", 0), claim(2, "b", 0), claim(2, "x", 0)}, owner: "c", formers: 2},
		"cleared by the owner":     {claims: []Claim{claim(1, "a", 0), claim(2, "b", 0), claim(2, "b", 2)}, owner: "b"},
		"cleared by another":       {claims: []Claim{claim(1, "a", 0), claim(2, "b", 0), claim(2, "a", 2)}, owner: "b", formers: 1},
		"cleared, then superseded": {claims: []Claim{claim(1, "a", 0), claim(2, "b", 2), claim(3, "c", 2)}, owner: "c", formers: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tab Table
			var members member.Table
			for _, c := range tc.claims {
				tab.Add(c, 1, &members)
			}
			is.Equal(tab.Get("kelso").Instance, tc.owner)
			is.Equal(len(tab.Get("kelso").FormerOwners), tc.formers)
		})
	}
}

// reports contains the holders that have reported.
type reports map[unit.Instance]bool

func (r reports) HasReported(id unit.Instance) bool { return r[id] }

// TestTakeoverTimes guards against a new owner that grants slots which a former
// owner or its holders may still use, and against one that waits too long. The
// claim was received at 10 s. The former owner is "a", and "b" is a holder. The
// unpinned grants of an owner that ended at an instant have expired 6,610 ms
// later.
func TestTakeoverTimes(t *testing.T) {
	const recordedAt, endedAt = 10_000, 30_000 // endedAt is when the end of a former owner was recorded
	l := DefaultLimits()
	quickByTime := clock.Millis(recordedAt).Add(l.ReleaseDelay(l.QuickRight + l.MaxGrant))
	slowByTime := clock.Millis(recordedAt).Add(l.ReleaseDelay(l.SlowRight))
	tests := map[string]struct {
		a        member.Row
		reported reports
		lastRead clock.Millis
		handed   bool
		unjoined bool // the holder has no join record
		want     StartTimes
	}{
		"owner silent":                  {lastRead: recordedAt, want: StartTimes{quickByTime, slowByTime}},
		"owner silent, holder reported": {reported: reports{"b": true}, lastRead: recordedAt, want: StartTimes{quickByTime, slowByTime}},
		"owner dead": {
			a: member.Row{Dead: true, DeadAt: 9_000}, reported: reports{"b": true}, lastRead: recordedAt,
			want: StartTimes{15_610, 15_610},
		},
		"owner dead, journal not read since": {
			a: member.Row{Dead: true, DeadAt: 9_000}, reported: reports{"b": true}, lastRead: 8_999,
			want: StartTimes{15_610, slowByTime},
		},
		"owner dead, holder has not reported": {
			a: member.Row{Dead: true, DeadAt: 9_000}, lastRead: recordedAt,
			want: StartTimes{15_610, slowByTime},
		},
		"owner merged the claim, all reported": {
			a: member.Row{CompleteMergedVersion: 9}, reported: reports{"a": true, "b": true}, lastRead: endedAt,
			want: StartTimes{recordedAt, recordedAt},
		},
		"owner merged the claim, holder has not reported": {
			a: member.Row{CompleteMergedVersion: 9}, reported: reports{"a": true}, lastRead: endedAt,
			want: StartTimes{quickByTime, slowByTime},
		},
		"owner merged the claim, unjoined holder has not reported": {
			a: member.Row{CompleteMergedVersion: 9}, reported: reports{"a": true}, lastRead: endedAt, unjoined: true,
			want: StartTimes{quickByTime, 36_610},
		},
		"owner dead while isolated, unjoined holder has not reported": {
			a: member.Row{Dead: true, DeadAt: endedAt}, lastRead: endedAt, unjoined: true,
			want: StartTimes{quickByTime, 36_610},
		},
		"owner has left": {
			a: member.Row{Left: true}, reported: reports{"b": true}, lastRead: endedAt,
			want: StartTimes{quickByTime, 36_610},
		},
		"owner handed over": {handed: true, want: StartTimes{recordedAt, recordedAt}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var members member.Table
			tc.a.Joined = true
			members.Put("a", tc.a)
			members.Put("b", member.Row{Joined: !tc.unjoined})
			r := Row{Claim: claim(2, "c", 0), Version: 9, RecordedAt: recordedAt, FormerOwners: []FormerOwner{{Instance: "a", Epoch: 1, SupersededAt: recordedAt, HandedOver: tc.handed}}}
			r.RecordEnds(&members, endedAt)
			is.New(t).Equal(TakeoverTimes(&r, &members, tc.reported, l, tc.lastRead), tc.want)
		})
	}
}

// TestRightsEnd guards against rights that outlast their confirmation, such as
// those of an owner that was paused.
func TestRightsEnd(t *testing.T) {
	l := DefaultLimits()
	tests := map[string]struct {
		now         clock.Millis
		quick, slow bool
	}{
		"confirmed":                         {now: 2_999, quick: true, slow: true},
		"end of quick right":                {now: 3_000, slow: true},
		"end of slow right":                 {now: 7_201_000},
		"just before the end of slow right": {now: 7_200_999, slow: true},
		"at the confirmation":               {now: 1_000, quick: true, slow: true},
		"before the start":                  {now: 999},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			right := RightOf(&Row{ConfirmedAt: 1_000}, StartTimes{Quick: 1_000, Slow: 1_000}, l)
			is.Equal(right.Quick(tc.now), tc.quick)
			is.Equal(right.Slow(tc.now), tc.slow)
		})
	}
}

// TestConfirmPromises guards against a confirmation that lacks the promise of a
// member, counts a promise for too long, or counts a promise that excludes the
// data centre.
func TestConfirmPromises(t *testing.T) {
	tests := map[string]struct {
		promises map[unit.Instance]member.Promise
		want     clock.Millis
	}{
		"no other member":                {want: 5_000},
		"all promise":                    {promises: map[unit.Instance]member.Promise{"b": {From: 4_000}, "c": {From: 4_500}}, want: 4_000},
		"one has not promised":           {promises: map[unit.Instance]member.Promise{"b": {From: 4_000}, "c": {}}},
		"one claims":                     {promises: map[unit.Instance]member.Promise{"b": {From: 4_000, Claiming: []unit.DataCentre{"kelso"}}}},
		"one claims another data centre": {promises: map[unit.Instance]member.Promise{"b": {From: 4_000, Claiming: []unit.DataCentre{"hawick"}}}, want: 4_000},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var tab Table
			var members member.Table
			tab.Add(claim(1, "a", 0), 1, &members)
			for id, p := range tc.promises {
				members.Put(id, member.Row{Promise: p})
			}
			ConfirmPromises(&tab, &members, "a", DefaultLimits(), 5_000)
			is.New(t).Equal(tab.Get("kelso").ConfirmedAt, tc.want)
		})
	}
}

// TestClaims guards against claims by processes that are not acknowledged, and
// against a claim while an owner may still rely on the last promise. The
// process stops promising at 80 s, and its last promise has expired 2,070 ms
// later.
func TestClaims(t *testing.T) {
	tests := map[string]struct {
		acknowledged clock.Millis
		founder      bool
		lastRead     clock.Millis
		ownerDead    bool
		now          clock.Millis
		want         int
	}{
		"not a member":                {lastRead: 90_000, ownerDead: true, now: 90_000},
		"acknowledged recently":       {acknowledged: 89_000, lastRead: 90_000, ownerDead: true, now: 90_000},
		"owner dead":                  {acknowledged: 1, lastRead: 90_000, ownerDead: true, now: 90_000, want: 1},
		"first member":                {founder: true, lastRead: 90_000, ownerDead: true, now: 90_000, want: 1},
		"journal not read":            {acknowledged: 1, lastRead: 79_999, ownerDead: true, now: 90_000},
		"owner silent":                {acknowledged: 1, lastRead: 90_000, now: 82_070, want: 1},
		"owner silent, promise valid": {acknowledged: 1, lastRead: 90_000, now: 82_069},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := Node{Limits: DefaultLimits()}
			n.Self = SelfState{
				Identity:       member.Identity{Instance: "b", DataCentre: "kelso"},
				AcknowledgedAt: tc.acknowledged, Founder: tc.founder, LastReadStart: tc.lastRead,
			}
			n.Members.Put("a", member.Row{Identity: member.Identity{Instance: "a", DataCentre: "kelso"}, Dead: tc.ownerDead})
			n.Tenures.Add(claim(1, "a", 0), 1, &n.Members)
			n.DueClaims(nil, []unit.DataCentre{"kelso"}, 80_000, clock.Second) // starts the pending claim, which ends the promise
			heartbeat := n.NextHeartbeat(n.Members.Get("a"), 80_000)
			is.Equal(len(heartbeat.Claiming), 1)
			n.Pending.Get("kelso").AppendedAt = 0
			got := n.DueClaims(nil, []unit.DataCentre{"kelso"}, tc.now, clock.Second)
			is.Equal(len(got), tc.want)
			is.True(tc.want == 0 || got[0] == claim(2, "b", 0))
		})
	}
}
