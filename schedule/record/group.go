package record

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
)

// An entry begins with the xxhash of what follows and the format byte.
const (
	sumBytes    = 8
	headerBytes = sumBytes + 1
	format      = 1
)

// wire is the encoded form of a record. Keys 1 to 4 keep their meaning in all
// versions, so that a reader can step over a version that it doesn't know.
// Within an entry the id is left out if it follows that of the record before,
// and the writer if it is the same.
type wire struct {
	Version Version         `cbor:"1,keyasint"`
	ID      []byte          `cbor:"2,keyasint,omitempty"`
	Writer  unit.Instance   `cbor:"3,keyasint,omitempty"`
	Kind    Kind            `cbor:"4,keyasint"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Group collects records for one journal entry. The zero value is empty and
// ready to use.
type Group struct {
	buf    []byte
	n      int
	id     ID
	writer unit.Instance
}

// Len returns the number of records.
func (g *Group) Len() int { return g.n }

// Size returns the bytes that the entry has so far.
func (g *Group) Size() unit.Bytes { return unit.Bytes(max(len(g.buf), headerBytes)) }

// Add adds r and reports whether it fitted. The error is that of
// [Record.Check].
func (g *Group) Add(r Record) (bool, error) {
	if err := r.Check(); err != nil {
		return false, err
	}
	w := wire{Version: r.Version, ID: r.ID[:], Writer: r.Writer, Kind: r.Kind, Body: r.Body}
	if g.n > 0 && g.id.plus(1) == r.ID {
		w.ID = nil
	}
	if g.n > 0 && g.writer == r.Writer {
		w.Writer = ""
	}
	data, err := encoder.Marshal(w)
	if err != nil {
		return false, fmt.Errorf("record: encode %s: %w", r.ID, err)
	}
	if g.Size()+unit.Bytes(len(data)) > journal.MaxEntryBytes {
		return false, nil
	}
	if len(g.buf) == 0 {
		g.buf = append(g.buf, make([]byte, headerBytes)...)
	}
	g.buf = append(g.buf, data...)
	g.n, g.id, g.writer = g.n+1, r.ID, r.Writer
	return true, nil
}

// Entry returns the entry with the records so far. It is valid until the next
// Add or Reset, and nil for an empty group.
func (g *Group) Entry() []byte {
	if g.n == 0 {
		return nil
	}
	g.buf[sumBytes] = format
	g.seal()
	return g.buf
}

// seal writes the checksum.
func (g *Group) seal() { binary.LittleEndian.PutUint64(g.buf, xxhash.Sum64(g.buf[sumBytes:])) }

// Reset empties the group and keeps its storage.
func (g *Group) Reset() { *g = Group{buf: g.buf[:0]} }
