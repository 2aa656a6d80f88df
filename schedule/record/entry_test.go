package record

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
)

type body struct {
	Name  string     `cbor:"1,keyasint"`
	Count unit.Slots `cbor:"2,keyasint,omitempty"`
}

// entryOf returns an entry with the given records.
func entryOf(t testing.TB, records ...Record) journal.Entry {
	t.Helper()
	var b EntryBuilder
	for _, r := range records {
		if ok, err := b.Add(r); err != nil || !ok {
			t.Fatalf("Add: %v %v", ok, err)
		}
	}
	return journal.Entry{Offset: 7, Data: bytes.Clone(b.Entry())}
}

func newRecord(t testing.TB, o *IDSource, k Kind, name string) Record {
	t.Helper()
	r, err := Encode(o, k, body{Name: name})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against omitted ids and writers that are restored incorrectly, and
// against records that are lost or reordered.
func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := []*IDSource{{Writer: "a"}, {Writer: "b"}}
		var want []Record
		for i := range rapid.IntRange(1, 40).Draw(rt, "records") {
			o := sources[rapid.IntRange(0, 1).Draw(rt, "source")]
			if rapid.Bool().Draw(rt, "gap") {
				o.NextID()
			}
			want = append(want, newRecord(t, o, Kind(1+i%(KindCount-1)), fmt.Sprint(i)))
		}
		e := entryOf(t, want...)
		kinds, ok := KindsOf(e)
		// Audit is the last kind, so it is only present if all kinds were added.
		if !ok || !kinds.Has(want[0].Kind) || kinds.Has(Audit) && len(want) < KindCount-1 {
			rt.Fatalf("kinds %b", kinds)
		}
		got := DecodeEntry(nil, e)
		if len(got) != len(want) {
			rt.Fatalf("%d records, want %d", len(got), len(want))
		}
		for i, it := range got {
			if it.Fault != NoFault || it.Offset != 7 || fmt.Sprint(it.Record) != fmt.Sprint(want[i]) {
				rt.Fatalf("record %d: got %v, want %v", i, it, want[i])
			}
		}
	})
}

// Guards against a faulty record that hides the other records of its entry or is
// returned as sound.
func TestDecodeEntryFaults(t *testing.T) {
	o := &IDSource{Writer: "a"}
	sound, later := newRecord(t, o, Join, "x"), newRecord(t, o, Join, "y")
	newVersion, newKind := newRecord(t, o, Join, "v"), newRecord(t, o, Join, "k")
	newVersion.Version, newKind.Kind = 9, Kind(KindCount)
	flipped := entryOf(t, sound)
	flipped.Data[len(flipped.Data)-1] ^= 1
	future := entryOf(t, sound)
	writeHeader(future.Data, formatDeflated+1, 0)
	tests := map[string]struct {
		entry journal.Entry
		want  []Fault
	}{
		"unknown version": {entryOf(t, sound, newVersion, later), []Fault{NoFault, UnknownVersion, NoFault}},
		"unknown kind":    {entryOf(t, newKind, sound), []Fault{UnknownKind, NoFault}},
		"bit flip":        {flipped, []Fault{Damaged}},
		"empty":           {journal.Entry{}, []Fault{Damaged}},
		"unknown format":  {future, []Fault{UnknownVersion}},
		"not a record":    {rawEntry(t, sound, []byte{0x83, 1, 2, 3}), []Fault{NoFault, Damaged}},
		"no previous id":  {rawEntry(t, sound, []byte{0x61, 'x'}, []byte{0xa2, 1, 1, 4, 1}), []Fault{NoFault, Damaged, Damaged}},
		"truncated":       {rawEntry(t, sound, []byte{0xa4, 1}), []Fault{NoFault, Damaged}},
		"too deep":        {rawEntry(t, sound, bytes.Repeat([]byte{0x81}, 64)), []Fault{NoFault, Damaged}},
		"huge length":     {rawEntry(t, sound, []byte{0x9b, 0x7f, 255, 255, 255, 255, 255, 255, 255}), []Fault{NoFault, Damaged}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []Fault
			var counts FaultCounts
			items := DecodeEntry(nil, tc.entry)
			for _, it := range items {
				got = append(got, it.Fault)
			}
			is.Equal(got, tc.want)
			counts.Add(items)
			is.Equal(int(counts[NoFault]+counts[Damaged]+counts[UnknownKind]+counts[UnknownVersion]), len(tc.want))
		})
	}
}

// rawEntry returns an entry with a valid checksum that holds a record followed by
// the bytes of more.
func rawEntry(t testing.TB, r Record, more ...[]byte) journal.Entry {
	e := entryOf(t, r)
	for _, b := range more {
		e.Data = append(e.Data, b...)
	}
	writeHeader(e.Data, formatPlain, 0)
	return e
}

// Guards against built entries that exceed the maximum size of an entry, and
// against records that fit into no entry.
func TestEntryLimit(t *testing.T) {
	is := is.New(t)
	o := &IDSource{Writer: "a"}
	var b EntryBuilder
	big, err := Encode(o, Audit, make([]byte, MaxBodyBytes-8))
	is.NoErr(err)
	ok, err := b.Add(big)
	is.True(ok && err == nil)
	is.True(unit.Bytes(len(b.Entry())) <= journal.MaxEntryBytes)
	ok, err = b.Add(big)
	is.True(!ok && err == nil) // full
	_, err = Encode(o, Audit, make([]byte, MaxBodyBytes))
	is.True(err != nil) // too large for any entry
	_, err = b.Add(Record{Kind: Join})
	is.True(err != nil) // no writer
}

// Guards against a set of recent ids that grows without bound or drops ids too
// early.
func TestSeen(t *testing.T) {
	is := is.New(t)
	s := SeenIDs{Limit: 10}
	o := &IDSource{}
	var ids []ID
	for range 95 {
		ids = append(ids, o.NextID())
		is.True(s.Add(ids[len(ids)-1]))
		is.True(s.Len() <= 20)
	}
	for _, id := range ids[len(ids)-10:] {
		is.True(!s.Add(id))
	}
	is.True(s.Add(ids[0]))
}

// Guards against a decoder that panics, doesn't terminate, or returns more
// records than the entry has bytes.
func FuzzDecodeEntry(f *testing.F) {
	o := &IDSource{Writer: "a"}
	f.Add(entryOf(f, newRecord(f, o, Join, "x")).Data[headerBytes:], false)
	f.Add(entryOf(f, newRecord(f, o, Join, strings.Repeat("x", 2*minDeflateBytes))).Data[headerBytes:], true)
	f.Add(rawEntry(f, newRecord(f, o, Claim, "z"), []byte{0xa2, 1, 1, 4, 1}).Data[headerBytes:], false)
	f.Add([]byte{0xff, 0x00}, true)
	f.Fuzz(func(t *testing.T, data []byte, deflated bool) {
		entry := append(make([]byte, headerBytes, headerBytes+len(data)), data...)
		if deflated {
			writeHeader(entry, formatDeflated, 0)
		} else {
			writeHeader(entry, formatPlain, 0)
		}
		items := DecodeEntry(nil, journal.Entry{Data: entry})
		if len(items) > int(journal.MaxEntryBytes) || !deflated && len(items) > len(data)+1 {
			t.Fatalf("%d records from %d bytes", len(items), len(data))
		}
		for _, it := range items {
			if it.Fault != NoFault {
				continue
			}
			_, _ = Decode[body](it.Record)
			if it.Record.Check() != nil {
				t.Fatalf("sound record fails its check: %v", it.Record)
			}
		}
	})
}
