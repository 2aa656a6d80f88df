package control

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// TestStandby guards against shards on processes without enough CPU for a shard
// while processes with enough are available, and against shards without an owner
// after the loss of the latter.
func TestStandby(t *testing.T) {
	layout := dispatch.Layout{Shards: 2, Executors: 720} // owner load: 360 thousandths of a core per shard
	large, otherLarge := MemberName("10.0.0.1:1", "a", 800), MemberName("10.0.0.2:1", "b", 800)
	small := MemberName("10.0.0.3:1", "c", 192)
	allOwned := map[unit.Shard]unit.Member{0: large, 1: otherLarge, 7: large}
	oneOwnerless := map[unit.Shard]unit.Member{0: large}
	for name, c := range map[string]struct {
		self   unit.Member
		checks []map[unit.Shard]unit.Member
		want   []bool
	}{
		"large":                                 {large, []map[unit.Shard]unit.Member{allOwned, oneOwnerless}, []bool{true, true}},
		"small, all owned":                      {small, []map[unit.Shard]unit.Member{allOwned, allOwned, allOwned}, []bool{false, false, false}},
		"small, one shard ownerless once":       {small, []map[unit.Shard]unit.Member{oneOwnerless, allOwned, oneOwnerless}, []bool{false, false, false}},
		"small, one shard ownerless twice":      {small, []map[unit.Shard]unit.Member{oneOwnerless, oneOwnerless}, []bool{false, true}},
		"small, no owners":                      {small, []map[unit.Shard]unit.Member{nil, nil}, []bool{false, true}},
		"small, larger owners return":           {small, []map[unit.Shard]unit.Member{nil, nil, allOwned, allOwned}, []bool{false, true, false, false}},
		"small, one larger owner is not enough": {small, []map[unit.Shard]unit.Member{nil, nil, oneOwnerless}, []bool{false, true, true}},
		"small, equally small owners do not count": {
			small,
			[]map[unit.Shard]unit.Member{nil, nil, {0: small, 1: MemberName("10.0.0.4:1", "d", 192)}},
			[]bool{false, true, true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := standby{self: c.self, layout: layout}
			for i := range c.checks {
				is.Equal(s.decide(c.checks[i]), c.want[i])
			}
		})
	}
}

// TestMemberName guards against calls to a wrong address, and against a member
// with a name of another format that counts as having enough CPU for a shard.
func TestMemberName(t *testing.T) {
	for name, c := range map[string]struct {
		member   unit.Member
		address  string
		cpuShare unit.MilliCPU
	}{
		"complete":     {MemberName("10.0.0.1:7720", "ab12", 400), "10.0.0.1:7720", 400},
		"no CPU share": {"10.0.0.1:7720/ab12", "10.0.0.1:7720", 0},
		"empty":        {"", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(addressOf(c.member), c.address)
			is.Equal(cpuShareOf(c.member), c.cpuShare)
		})
	}
}
