package dispatch

import (
	"hash/fnv"

	"mimosadock/schedule/unit"
)

const (
	// MaxShards is the number of partitions of a topic on the platform.
	MaxShards = 24
	// maxExecutorsPerShard is the average number of executors of a shard above
	// which [LayoutFor] adds a shard. Fewer and larger shards fragment the
	// capacity of a service less. The owner of a shard with 350 executors and 800
	// starts a second uses two fifths of a core.
	maxExecutorsPerShard = 360
	// ownerLoadPerExecutor is the processor time that the owner of a shard uses
	// for each executor in it that starts two runs a second.
	ownerLoadPerExecutor unit.MilliCPU = 1
)

// Layout distributes the jobs and executors of a deployment over shards. All
// processes must use the same layout. The zero value has no shards.
type Layout struct {
	Shards    int `cbor:"1,keyasint"`
	Executors int `cbor:"2,keyasint"` // number of executors that it was computed for
}

// LayoutFor returns the layout for a number of executors. It has 1 to
// [MaxShards] shards.
func LayoutFor(executors int) Layout {
	shards := (executors + maxExecutorsPerShard - 1) / maxExecutorsPerShard
	return Layout{Shards: min(max(shards, 1), MaxShards), Executors: executors}
}

// HasShards reports whether l has shards.
func (l Layout) HasShards() bool { return l.Shards > 0 }

// Valid reports whether l has shards and the store has a partition for each.
func (l Layout) Valid() bool { return l.Shards > 0 && l.Shards <= MaxShards }

// ShardOf returns the shard of a job or executor by its id. It panics if l has
// no shards.
func (l Layout) ShardOf(id string) unit.Shard {
	if !l.HasShards() {
		panic("dispatch: layout has no shards")
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return unit.Shard(h.Sum32() % uint32(l.Shards))
}

// OwnerLoad returns the processor time that the owner of one shard needs, in
// thousandths of a core. It is 0 if l has no shards.
func (l Layout) OwnerLoad() unit.MilliCPU {
	if !l.HasShards() {
		return 0
	}
	return ownerLoadPerExecutor * unit.MilliCPU(l.Executors/l.Shards)
}
