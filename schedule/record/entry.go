package record

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
)

// DecodedRecord is the result of decoding one record. Offset is that of its
// entry. Record must only be used if Fault is [NoFault].
type DecodedRecord struct {
	Offset unit.Offset
	Fault  Fault
	Record Record
}

// FaultCounts counts records by fault. The zero value is ready to use.
type FaultCounts [faultCount]uint64

// Add counts each record under its fault.
func (c *FaultCounts) Add(records []DecodedRecord) {
	for i := range records {
		c[records[i].Fault]++
	}
}

// ByName returns the counts by the names of the faults.
func (c *FaultCounts) ByName() map[string]uint64 {
	m := make(map[string]uint64, len(c))
	for f, n := range c {
		m[Fault(f).String()] = n
	}
	return m
}

// KindsOf returns the kinds of the records in e from its header, without
// decoding the records. It returns false if the entry is damaged or has an
// unknown format.
func KindsOf(e journal.Entry) (KindSet, bool) {
	if checkHeader(e.Data) != NoFault {
		return 0, false
	}
	return KindSet(binary.LittleEndian.Uint32(e.Data[kindsOffset:])), true
}

// checkHeader checks the size, the checksum and the format of an entry.
func checkHeader(data []byte) Fault {
	switch {
	case len(data) < headerBytes, unit.Bytes(len(data)) > journal.MaxEntryBytes,
		binary.LittleEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]):
		return Damaged
	case data[formatOffset] != formatPlain && data[formatOffset] != formatDeflated:
		return UnknownVersion
	}
	return NoFault
}

// DecodeEntry appends the records of e to dst and returns it. It returns a
// single record with a fault for an entry that is damaged or has an unknown
// format. Within an entry, a CBOR value that isn't a record results in a damaged
// record. Bytes that aren't CBOR end the entry with a damaged record; the records
// before them are kept.
func DecodeEntry(dst []DecodedRecord, e journal.Entry) []DecodedRecord {
	if f := checkHeader(e.Data); f != NoFault {
		return append(dst, DecodedRecord{Offset: e.Offset, Fault: f})
	}
	if e.Data[formatOffset] == formatPlain {
		return decodeRecords(dst, e.Offset, e.Data[headerBytes:])
	}
	in := inflaters.Get().(*inflater)
	defer inflaters.Put(in)
	if !in.inflate(e.Data[headerBytes:]) {
		return append(dst, DecodedRecord{Offset: e.Offset, Fault: Damaged})
	}
	return decodeRecords(dst, e.Offset, in.output.Bytes())
}

// decodeRecords appends the records in rest, which come from the entry at the
// offset, to dst.
func decodeRecords(dst []DecodedRecord, offset unit.Offset, rest []byte) []DecodedRecord {
	c := deltaDecoder{}
	for len(rest) > 0 {
		var w wireRecord
		it := DecodedRecord{Fault: Damaged}
		next, err := decoder.UnmarshalFirst(rest, &w)
		if err == nil {
			it = c.restore(w)
		} else if next, err = c.skip(rest); err != nil {
			return append(dst, DecodedRecord{Offset: offset, Fault: Damaged})
		}
		it.Offset = offset
		dst, rest = append(dst, it), next
	}
	return dst
}

// inflater holds the reusable reader and buffer to inflate one entry.
type inflater struct {
	source bytes.Reader
	reader io.ReadCloser
	output bytes.Buffer
}

var inflaters = sync.Pool{New: func() any {
	in := new(inflater)
	in.reader = flate.NewReader(&in.source)
	return in
}}

// inflate inflates data into in.output. It returns false if data is invalid or
// inflates to more than the maximum size of an entry.
func (in *inflater) inflate(data []byte) bool {
	in.source.Reset(data)
	in.output.Reset()
	if in.reader.(flate.Resetter).Reset(&in.source, nil) != nil {
		return false
	}
	n, err := in.output.ReadFrom(io.LimitReader(in.reader, int64(journal.MaxEntryBytes)+1))
	return err == nil && unit.Bytes(n) <= journal.MaxEntryBytes
}

// deltaDecoder restores the ids and writers that wire records omit. It holds the
// id and the writer of the previous record in the entry.
type deltaDecoder struct {
	hasPrevious bool
	id          ID
	writer      unit.Instance
}

// skip returns the data after a well-formed CBOR value that isn't a record. A
// following record must have an id and a writer.
func (c *deltaDecoder) skip(data []byte) ([]byte, error) {
	c.hasPrevious = false
	var raw cbor.RawMessage
	return decoder.UnmarshalFirst(data, &raw)
}

// restore returns the record of w with its id and writer restored.
func (c *deltaDecoder) restore(w wireRecord) DecodedRecord {
	full := len(w.ID) == len(ID{}) && w.Writer != ""
	if len(w.ID) != 0 && len(w.ID) != len(ID{}) || len(w.Writer) > maxWriterBytes || !c.hasPrevious && !full {
		c.hasPrevious = false
		return DecodedRecord{Fault: Damaged}
	}
	if len(w.ID) == 0 {
		c.id = c.id.add(1)
	} else {
		c.id = ID(w.ID)
	}
	if w.Writer != "" {
		c.writer = w.Writer
	}
	c.hasPrevious = true
	it := DecodedRecord{Record: Record{Version: w.Version, ID: c.id, Writer: c.writer, Kind: w.Kind, Body: w.Body}}
	switch {
	case w.Version != CurrentVersion:
		it.Fault = UnknownVersion
	case w.Kind == Unset || int(w.Kind) >= KindCount:
		it.Fault = UnknownKind
	}
	return it
}
