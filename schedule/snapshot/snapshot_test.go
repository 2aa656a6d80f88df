package snapshot

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
)

// testPartBytes is the maximum size of a part in tests. It is small so that
// short snapshots have several parts.
const testPartBytes = 64

func contents(scope Scope, at unit.Offset, size int) Contents {
	data := make([]byte, size)
	r := rand.New(rand.NewPCG(uint64(at), 0))
	for i := range data {
		data[i] = byte(r.Uint32())
	}
	return Contents{Scope: scope, At: at, Sections: []Section{{Name: "jobs", Data: data}}}
}

func encode(t interface{ Fatal(...any) }, writer unit.Instance, c Contents) []record.Record {
	records, err := encodeParts(&record.IDSource{Writer: writer}, c, []Ref{{Scope: "x", From: 3}}, testPartBytes)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// Guards against an assembler that returns a snapshot although a part is
// missing, damaged or from another snapshot, and against one that misses a
// complete snapshot because its records are reordered or interleaved with
// others.
func TestAssembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type source struct {
			contents Contents
			complete bool
		}
		sources := map[unit.Offset]source{}
		var items []record.DecodedRecord
		for i := range rapid.IntRange(1, 4).Draw(t, "snapshots") {
			at := unit.Offset(100 + i)
			c := contents(Common, at, rapid.IntRange(0, 3*testPartBytes).Draw(t, "size"))
			records := encode(t, unit.Instance(fmt.Sprint(i%2)), c)
			complete := true
			switch rapid.IntRange(0, 3).Draw(t, "damage") {
			case 0:
				drop := rapid.IntRange(0, len(records)-1).Draw(t, "drop")
				records = append(records[:drop:drop], records[drop+1:]...)
				complete = false
			case 1:
				p, err := record.Decode[Part](records[0])
				if err != nil {
					t.Fatal(err)
				}
				p.Data[len(p.Data)-1] ^= 1
				records[0].Body, _ = record.Marshal(p)
				complete = false
			}
			sources[at] = source{c, complete}
			for _, r := range records {
				items = append(items, record.DecodedRecord{Record: r})
			}
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		rng.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		var a Assembler
		found := 0
		for i, it := range items {
			it.Offset = unit.Offset(i)
			got, ok := a.Add(it)
			if !ok {
				continue
			}
			found++
			src := sources[got.At]
			if !src.complete || string(got.Sections[0].Data) != string(src.contents.Sections[0].Data) || got.LastOffset != unit.Offset(i) || got.FirstOffset > got.LastOffset {
				t.Fatalf("snapshot at %d is incomplete or has wrong contents or offsets", got.At)
			}
		}
		for _, src := range sources {
			if src.complete {
				found--
			}
		}
		if found != 0 {
			t.Fatalf("returned minus complete snapshots: %d, want 0", found)
		}
	})
}

// Guards against incomplete snapshots that use memory without bound.
func TestAssemblerIsBounded(t *testing.T) {
	is := is.New(t)
	var a Assembler
	for i := range 300 {
		r := encode(t, "a", contents(Common, unit.Offset(i), 2*testPartBytes))
		a.Add(record.DecodedRecord{Record: r[0]})
		is.True(a.incomplete.Len() <= maxIncomplete+1 && a.bytes <= (maxIncomplete+1)*testPartBytes)
	}
	is.True(a.Dropped > 0)
	last := encode(t, "a", contents(Common, 1, 10))
	a.Add(record.DecodedRecord{Record: last[0]})
	_, ok := a.Add(record.DecodedRecord{Record: last[1]})
	is.True(ok) // the newest snapshot is still returned
}

// Guards against an older snapshot that replaces a newer one, and against a
// reader that stops before it has found the snapshots of all scopes.
func TestNewest(t *testing.T) {
	is := is.New(t)
	var n NewestByScope
	_, ok := n.SearchFloor()
	is.True(!ok)
	kelso := Snapshot{Contents: Contents{Scope: ScopeOf("kelso"), At: 50}, FirstOffset: 60, LastOffset: 61, Others: []Ref{{Common, 20}, {ScopeOf("hawick"), 30}}}
	is.True(n.Offer(kelso))
	floor, _ := n.SearchFloor()
	is.Equal(floor, unit.Offset(20))
	_, ok = n.ReplayStart()
	is.True(!ok) // the common snapshot isn't known
	is.True(n.Offer(Snapshot{Contents: Contents{Scope: Common, At: 15}, FirstOffset: 20, LastOffset: 22}))
	is.True(!n.Offer(Snapshot{Contents: Contents{Scope: Common, At: 10}, FirstOffset: 23, LastOffset: 24}))
	start, ok := n.ReplayStart()
	is.True(ok)
	is.Equal(start, unit.Offset(15))
	floor, _ = n.SearchFloor()
	is.Equal(floor, unit.Offset(30))
	fresh := Snapshot{Contents: Contents{Scope: Common, At: 90, Fresh: true}}
	is.True(!n.Offer(fresh)) // a snapshot that isn't fresh is known
	n.Delete(Common)
	is.True(n.Offer(fresh))
	floor, _ = n.SearchFloor()
	is.Equal(floor, unit.Offset(0)) // another common snapshot may lie further back
}

// Guards against a snapshot that is written after retention has removed records
// it covers, too often, or by the wrong process.
func TestDue(t *testing.T) {
	limits := Limits{Entries: 1000, Age: 100 * clock.Second, TailBytes: 1000, Changes: 10}
	tests := map[string]struct {
		next         unit.Offset
		now          clock.Millis
		bytes        unit.Bytes
		changes      int
		due, overdue bool
	}{
		"not due":          {next: 400, now: 40_000, bytes: 900, changes: 9},
		"due by count":     {next: 600, due: true},
		"overdue by count": {next: 850, due: true, overdue: true},
		"due by age":       {next: 100, now: 50_000, due: true},
		"overdue by age":   {next: 100, now: 75_000, due: true, overdue: true},
		"due by tail":      {next: 100, bytes: 1000, due: true},
		"due by changes":   {next: 100, changes: 10, due: true},
		"overdue by tail":  {next: 100, bytes: 1500, due: true, overdue: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := Schedule{Limits: limits}
			is.True(s.Due(Common, 0, 0)) // no snapshot known
			s.RecordSnapshot(Snapshot{Contents: Contents{Scope: Common, At: 100}, FirstOffset: 101}, 0, false)
			s.RecordEntries(tc.bytes, tc.changes)
			is.Equal(s.Due(Common, tc.next, tc.now), tc.due)
			is.Equal(s.Overdue(Common, tc.next, tc.now), tc.overdue)
			s.RecordAttempt(Common, tc.now)
			is.True(!s.Due(Common, tc.next, tc.now.Add(RetryAfter-1))) // an append is pending
			s.RecordSnapshot(Snapshot{Contents: Contents{Scope: Common, At: tc.next}}, tc.now, true)
			is.True(s.Due(Common, tc.next, tc.now)) // unknown age after a recovery
			s.RecordSnapshot(Snapshot{Contents: Contents{Scope: Common, At: tc.next, Fresh: true}}, tc.now, false)
			is.True(s.Due(Common, tc.next, tc.now)) // a fresh snapshot must be followed by another
		})
	}
	is := is.New(t)
	owners := []Owner{{"selkirk", "c"}, {"hawick", "a"}, {"kelso", "b"}}
	is.Equal(Writer(Common, owners), unit.Instance("a"))
	is.Equal(Writer(ScopeOf("selkirk"), owners), unit.Instance("c"))
	is.Equal(Writer(ScopeOf("lost"), owners), unit.Instance(""))
	is.Equal(Writer(Common, nil), unit.Instance(""))
}

// Guards against decoders of parts and ends that panic or allocate memory for a
// length that a record states but doesn't contain.
func FuzzAssembler(f *testing.F) {
	for _, r := range encode(f, "a", contents(Common, 1, 40)) {
		f.Add([]byte(r.Body), []byte(r.Body))
	}
	f.Add([]byte{0xa3, 1, 0x40, 2, 1, 3, 0x40}, []byte{})
	f.Fuzz(func(t *testing.T, part, end []byte) {
		var a Assembler
		a.Add(record.DecodedRecord{Record: record.Record{Kind: record.SnapshotPart, Body: part}})
		if got, ok := a.Add(record.DecodedRecord{Record: record.Record{Kind: record.SnapshotEnd, Body: end}}); ok && len(got.Sections) > len(part) {
			t.Fatal("more sections than bytes")
		}
	})
}
