package control

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// Guards against shards on processes that are too weak to carry them while
// stronger ones are there, and against shards without an owner when those are
// lost.
func TestStandby(t *testing.T) {
	layout := dispatch.Layout{Shards: 2, Executors: 240} // 360 thousandths a shard
	strong, other := MemberName("10.0.0.1:1", "a", 800), MemberName("10.0.0.2:1", "b", 800)
	weak := MemberName("10.0.0.3:1", "c", 192)
	both := map[unit.Shard]unit.Member{0: strong, 1: other, 7: strong}
	bare := map[unit.Shard]unit.Member{0: strong}
	for name, c := range map[string]struct {
		self  unit.Member
		looks []map[unit.Shard]unit.Member
		want  []bool
	}{
		"strong":                  {strong, []map[unit.Shard]unit.Member{both, bare}, []bool{true, true}},
		"weak, all owned":         {weak, []map[unit.Shard]unit.Member{both, both, both}, []bool{false, false, false}},
		"weak, bare once":         {weak, []map[unit.Shard]unit.Member{bare, both, bare}, []bool{false, false, false}},
		"weak, bare":              {weak, []map[unit.Shard]unit.Member{bare, bare}, []bool{false, true}},
		"weak, no owners at all":  {weak, []map[unit.Shard]unit.Member{nil, nil}, []bool{false, true}},
		"weak, stronger are back": {weak, []map[unit.Shard]unit.Member{nil, nil, both, both}, []bool{false, true, false, false}},
		"weak, one is not enough": {weak, []map[unit.Shard]unit.Member{nil, nil, bare}, []bool{false, true, true}},
		"weak, equals don't count": {
			weak,
			[]map[unit.Shard]unit.Member{nil, nil, {0: weak, 1: MemberName("10.0.0.4:1", "d", 192)}},
			[]bool{false, true, true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := standby{self: c.self, layout: layout}
			for i := range c.looks {
				is.Equal(s.needed(c.looks[i]), c.want[i])
			}
		})
	}
}

// Guards against calls to a wrong address and against a member of another form
// that counts as strong.
func TestMemberName(t *testing.T) {
	for name, c := range map[string]struct {
		member  unit.Member
		address string
		ability unit.MilliCPU
	}{
		"whole":      {MemberName("10.0.0.1:7720", "ab12", 400), "10.0.0.1:7720", 400},
		"no ability": {"10.0.0.1:7720/ab12", "10.0.0.1:7720", 0},
		"empty":      {"", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(addressOf(c.member), c.address)
			is.Equal(abilityOf(c.member), c.ability)
		})
	}
}
