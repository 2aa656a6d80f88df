package record

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
)

// Layout of the header of an entry: the xxhash of all bytes after the hash, the
// format, and the set of kinds with a bit each. The records follow the header.
const (
	checksumBytes = 8
	formatOffset  = checksumBytes
	kindsOffset   = formatOffset + 1
	headerBytes   = kindsOffset + 4
)

// The formats of an entry.
const (
	formatPlain    = 1
	formatDeflated = 2 // the records are deflated
)

// minDeflateBytes is the minimum size of an entry that is deflated.
const minDeflateBytes = 128

// wireRecord is the encoded form of a record. Keys 1 to 4 keep their meaning in
// all versions, so that a reader can skip a record of an unknown version. Within
// an entry the id is omitted if it is the successor of the previous record's id,
// and the writer if it equals that of the previous record.
type wireRecord struct {
	Version Version         `cbor:"1,keyasint"`
	ID      []byte          `cbor:"2,keyasint,omitempty"`
	Writer  unit.Instance   `cbor:"3,keyasint,omitempty"`
	Kind    Kind            `cbor:"4,keyasint"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// EntryBuilder collects a group of records and encodes them as one journal
// entry. The zero value is empty and ready to use.
type EntryBuilder struct {
	buf        []byte // plain entry with an empty header
	deflated   bytes.Buffer
	count      int
	kinds      KindSet
	lastID     ID
	lastWriter unit.Instance
}

// Len returns the number of added records.
func (b *EntryBuilder) Len() int { return b.count }

// Size returns the current size of the entry, before it is deflated.
func (b *EntryBuilder) Size() unit.Bytes { return unit.Bytes(max(len(b.buf), headerBytes)) }

// Add adds r to the entry. It returns false without an error if r doesn't fit
// into the entry. It returns the error of [Record.Check] for an invalid record.
func (b *EntryBuilder) Add(r Record) (bool, error) {
	if err := r.Check(); err != nil {
		return false, err
	}
	w := wireRecord{Version: r.Version, ID: r.ID[:], Writer: r.Writer, Kind: r.Kind, Body: r.Body}
	if b.count > 0 && b.lastID.add(1) == r.ID {
		w.ID = nil
	}
	if b.count > 0 && b.lastWriter == r.Writer {
		w.Writer = ""
	}
	data, err := encoder.Marshal(w)
	if err != nil {
		return false, fmt.Errorf("record: encode %s: %w", r.ID, err)
	}
	if b.Size()+unit.Bytes(len(data)) > journal.MaxEntryBytes {
		return false, nil
	}
	if len(b.buf) == 0 {
		b.buf = append(b.buf, make([]byte, headerBytes)...)
	}
	b.buf = append(b.buf, data...)
	b.count, b.lastID, b.lastWriter = b.count+1, r.ID, r.Writer
	b.kinds = b.kinds.With(r.Kind)
	return true, nil
}

// Entry returns the entry with the added records, deflated if that makes it
// smaller. It is valid until the next Add or Reset. It is nil if there are no
// records.
func (b *EntryBuilder) Entry() []byte {
	if b.count == 0 {
		return nil
	}
	if len(b.buf) >= minDeflateBytes && b.deflate() == nil && b.deflated.Len() < len(b.buf) {
		return writeHeader(b.deflated.Bytes(), formatDeflated, b.kinds)
	}
	return writeHeader(b.buf, formatPlain, b.kinds)
}

// writeHeader writes the header of an entry in place and returns the entry.
func writeHeader(entry []byte, format byte, kinds KindSet) []byte {
	entry[formatOffset] = format
	binary.LittleEndian.PutUint32(entry[kindsOffset:], uint32(kinds))
	binary.LittleEndian.PutUint64(entry, xxhash.Sum64(entry[checksumBytes:]))
	return entry
}

// deflate writes an empty header and the deflated records to b.deflated.
func (b *EntryBuilder) deflate() error {
	b.deflated.Reset()
	b.deflated.Write(b.buf[:headerBytes])
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&b.deflated)
	if _, err := w.Write(b.buf[headerBytes:]); err != nil {
		return err
	}
	return w.Close()
}

// deflaters reuses the writers of deflate, which take 800 kB each.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.DefaultCompression)
	if err != nil {
		panic("record: invalid compression level")
	}
	return w
}}

// Reset removes all records and keeps the buffers.
func (b *EntryBuilder) Reset() {
	b.deflated.Reset()
	*b = EntryBuilder{buf: b.buf[:0], deflated: b.deflated}
}
