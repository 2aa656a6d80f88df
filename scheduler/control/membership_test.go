package control

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// TestShardIsServedOncePerGeneration guards against two ownerships of a shard
// under one epoch. In a store outage memberships don't expire, so a member can
// release a shard and be assigned it again in the same generation. Its earlier
// appends and orders would not be fenced.
func TestShardIsServedOncePerGeneration(t *testing.T) {
	for name, c := range map[string]struct {
		last   unit.Generation // epoch of the previous ownership
		rejoin bool
	}{
		"same generation": {7, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			control := &Control{Clock: new(clock.Manual), Counters: new(Counters), owned: make(map[unit.Shard]*ownedShard), epochs: map[unit.Shard]unit.Generation{0: c.last}}
			control.layout.Store(&dispatch.Layout{Shards: 1})
			done := make(chan joinOutcome, 1)
			control.handleJoined(joinedMessage{generation: 7, shards: []unit.Shard{0}, outcome: done})
			is.Equal((<-done).rejoin, c.rejoin)
			is.Equal(len(control.owned), 0)
		})
	}
}

// releaseLog records whether the membership was confirmed when a shard was
// released.
type releaseLog struct {
	control   *Control
	confirmed []bool
}

func (l *releaseLog) LogChange(message string, _ ...any) {
	if message == "shard released" {
		l.confirmed = append(l.confirmed, l.control.membership.isConfirmed(l.control.BootClock(), l.control.Settings.TTL))
	}
}

func (*releaseLog) LogDecision(string, ...any) {}

// TestShardsAreReleasedBeforeTheConfirmation guards against leases of a shard that
// are renewed after it was assigned to another member, because the join that says
// so also confirms the membership.
func TestShardsAreReleasedBeforeTheConfirmation(t *testing.T) {
	is := is.New(t)
	boot := clock.Millis(100_000)
	c := &Control{
		Settings: Settings{TTL: 1200}, Clock: new(clock.Manual), Counters: new(Counters),
		BootClock: func() clock.Millis { return boot }, epochs: make(map[unit.Shard]unit.Generation),
	}
	log := &releaseLog{control: c}
	c.EventLog = log
	c.layout.Store(&dispatch.Layout{Shards: 1})
	c.owned = map[unit.Shard]*ownedShard{0: {shard: new(dispatch.Shard), cancel: func() {}}}
	done := make(chan joinOutcome, 1)
	c.handleJoined(joinedMessage{generation: 7, sentBootAt: boot, outcome: done})
	is.Equal(log.confirmed, []bool{false}) // the shard is released first
	is.True(c.membership.isConfirmed(boot, c.Settings.TTL))
}

// TestFormerOwnerMayBeMember guards against leases that are taken for expired while
// the former owner is a member without a partition, which may still renew them.
func TestFormerOwnerMayBeMember(t *testing.T) {
	for name, c := range map[string]struct {
		partitions map[unit.Member]int
		want       bool
	}{
		"listed":                           {map[unit.Member]int{"a": 12, "former": 12}, true},
		"not listed":                       {map[unit.Member]int{"a": 12, "b": 12}, false},
		"as many members as partitions":    {map[unit.Member]int{"a": 1, "b": 1}, true},
		"the store has not assigned any":   {nil, true},
		"listed among more than one shard": {map[unit.Member]int{"a": 2, "former": 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(mayBeMember("former", c.partitions), c.want)
		})
	}
}

// Guards against an owner that goes on with outdated jobs, because another member
// owned the shard between two of its joins and it has nothing to store.
func TestOwnersNoticeAnOwnerInBetween(t *testing.T) {
	for name, c := range map[string]struct {
		generation unit.Generation // of the join; the last one was 5
		fenced     bool            // another owner has used a higher epoch
		appends    int
	}{
		"no change":              {5, false, 0},
		"change of other shards": {7, false, 1},
		"owner in between":       {7, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newStoringFixture()
			store := &replacedOwnerStore{fenced: c.fenced}
			f.control.Store, f.control.EventLog = store, discardedLog{}
			f.control.layout.Store(&dispatch.Layout{Shards: 1})
			f.control.membership.generation = 5
			f.owned.cancel = func() {}
			f.control.handleJoined(joinedMessage{generation: c.generation, shards: []unit.Shard{0}, outcome: make(chan joinOutcome, 1)})
			f.tick()
			is.Equal(store.appends, c.appends)
			is.Equal(f.control.owned[0] == nil, c.fenced)
			f.group.Stop()
			is.NoErr(f.group.Wait())
		})
	}
}

// Guards against an owner that goes on with outdated jobs, because the member that
// owned the shard between two of its joins served it only after the proof.
func TestOwnersNoticeALateOwnerInBetween(t *testing.T) {
	is := is.New(t)
	f := newStoringFixture()
	store := new(replacedOwnerStore)
	f.control.Store, f.control.EventLog = store, discardedLog{}
	f.control.layout.Store(&dispatch.Layout{Shards: 1})
	f.control.membership.generation = 5
	f.owned.cancel = func() {}
	for f.now.Now() < 1000 {
		f.tick() // the lease record is stored
	}
	join := joinedMessage{generation: 7, shards: []unit.Shard{0}, outcome: make(chan joinOutcome, 100)}
	f.control.handleJoined(join)
	is.True(f.tick())
	is.True(!f.tick())  // one append is enough
	store.fenced = true // the join of the other member, under generation 6, was late
	for f.control.owned[0] != nil && f.now.Now() < 3000 {
		join.sentAt = f.now.Now()
		f.control.handleJoined(join)
		f.tick()
	}
	is.True(f.control.owned[0] == nil)
	f.group.Stop()
	is.NoErr(f.group.Wait())
}
