package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/unit"
)

// TestLayoutFollowsTheExecutors guards against a deployment whose owner is
// overloaded because too many executors share a shard, and against shards so
// small that their capacity is fragmented.
func TestLayoutFollowsTheExecutors(t *testing.T) {
	for name, c := range map[string]struct {
		executors int
		shards    int
	}{
		"none":                 {0, 1},
		"one":                  {1, 1},
		"one shard":            {66, 1},
		"one large shard":      {350, 1},
		"two shards":           {490, 2},
		"three shards":         {890, 3},
		"four shards":          {1200, 4},
		"more than partitions": {100_000, MaxShards},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := LayoutFor(c.executors)
			is.Equal(l.Shards, c.shards)
			is.True(l.Valid())
			is.Equal(l.OwnerLoad(), ownerLoadPerExecutor*unit.MilliCPU(c.executors/c.shards))
		})
	}
}

// TestShardOfStaysWithinTheLayout guards against ids that are mapped to shards
// outside the layout, which no process owns.
func TestShardOfStaysWithinTheLayout(t *testing.T) {
	is := is.New(t)
	l := Layout{Shards: 3}
	seen := make(map[unit.Shard]int)
	for i := range 300 {
		seen[l.ShardOf(string(rune('a'+i%26))+string(rune('0'+i%10)))]++
	}
	is.Equal(len(seen), 3)
	for s := range seen {
		is.True(int(s) < l.Shards)
	}
}
