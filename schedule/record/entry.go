package record

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
)

// Item is one record as it was read. Record is only to be used if Fault is
// [Sound].
type Item struct {
	Offset unit.Offset
	Fault  Fault
	Record Record
}

// Counts counts records by fault. The zero value is ready to use.
type Counts [faults]uint64

// Add counts the items.
func (c *Counts) Add(items []Item) {
	for i := range items {
		c[items[i].Fault]++
	}
}

// ByName returns the counts under the names of the faults.
func (c *Counts) ByName() map[string]uint64 {
	m := make(map[string]uint64, len(c))
	for f, n := range c {
		m[Fault(f).String()] = n
	}
	return m
}

// DecodeEntry appends the records of e to dst and returns it. An entry whose
// checksum is wrong gives one damaged item. Bytes that aren't a record give a
// damaged item too; the records before them are kept.
func DecodeEntry(dst []Item, e journal.Entry) []Item {
	data := e.Data
	if len(data) < headerBytes || unit.Bytes(len(data)) > journal.MaxEntryBytes ||
		binary.LittleEndian.Uint64(data) != xxhash.Sum64(data[sumBytes:]) {
		return append(dst, Item{Offset: e.Offset, Fault: Damaged})
	}
	if data[sumBytes] != format {
		return append(dst, Item{Offset: e.Offset, Fault: UnknownVersion})
	}
	c := chain{}
	for rest := data[headerBytes:]; len(rest) > 0; {
		var w wire
		next, err := decoder.UnmarshalFirst(rest, &w)
		if err != nil {
			if next, err = c.skip(rest); err != nil {
				return append(dst, Item{Offset: e.Offset, Fault: Damaged})
			}
			dst = append(dst, Item{Offset: e.Offset, Fault: Damaged})
			rest = next
			continue
		}
		it := c.item(w)
		it.Offset = e.Offset
		dst, rest = append(dst, it), next
	}
	return dst
}

// chain fills in what a record leaves out because the one before it says it.
type chain struct {
	known  bool
	id     ID
	writer unit.Instance
}

// skip steps over a well-formed value that isn't a record.
func (c *chain) skip(data []byte) ([]byte, error) {
	c.known = false
	var raw cbor.RawMessage
	return decoder.UnmarshalFirst(data, &raw)
}

func (c *chain) item(w wire) Item {
	full := len(w.ID) == len(ID{}) && w.Writer != ""
	if len(w.ID) != 0 && len(w.ID) != len(ID{}) || len(w.Writer) > maxWriterBytes || !c.known && !full {
		c.known = false
		return Item{Fault: Damaged}
	}
	if len(w.ID) == 0 {
		c.id = c.id.plus(1)
	} else {
		c.id = ID(w.ID)
	}
	if w.Writer != "" {
		c.writer = w.Writer
	}
	c.known = true
	it := Item{Record: Record{Version: w.Version, ID: c.id, Writer: c.writer, Kind: w.Kind, Body: w.Body}}
	switch {
	case w.Version != Current:
		it.Fault = UnknownVersion
	case w.Kind == Unset || int(w.Kind) >= Kinds:
		it.Fault = UnknownKind
	}
	return it
}
