package snapshot

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
)

// Scope is the part of the state that one snapshot covers.
type Scope string

// Common is the scope of the state that all data centres share: the
// configuration, the claims and the members.
const Common Scope = "common"

// ScopeOf returns the scope of one data centre, which covers its jobs.
func ScopeOf(dc unit.DataCentre) Scope { return Scope("dataCentre/" + dc) }

// Limits of a snapshot.
const (
	MaxPartBytes = 192 << 10 // encoded contents in one part
	MaxParts     = 64
	MaxBytes     = MaxPartBytes * MaxParts
)

// Section is a named part of the state, encoded by the package that owns it.
type Section struct {
	Name string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Contents is the state of one scope. It includes the effects of all records
// before the offset At. A fresh snapshot restores state that the journal has
// lost, see the package comment.
type Contents struct {
	Scope    Scope       `cbor:"1,keyasint"`
	At       unit.Offset `cbor:"2,keyasint"`
	Sections []Section   `cbor:"3,keyasint"`
	Fresh    bool        `cbor:"4,keyasint,omitempty"`
}

// Ref refers to the newest snapshot of another scope. From is the offset of the
// first part of the snapshot. If the scope has no snapshot yet, From is the
// offset of the first record of the scope.
type Ref struct {
	Scope Scope       `cbor:"1,keyasint"`
	From  unit.Offset `cbor:"2,keyasint"`
}

// Part is the body of a snapshotPart record.
type Part struct {
	Snapshot record.ID `cbor:"1,keyasint"`
	Index    int       `cbor:"2,keyasint"`
	Data     []byte    `cbor:"3,keyasint"`
}

// End is the body of a snapshotEnd record. A reader that searches backward from
// the end of the journal uses Others to find how far back it must read.
type End struct {
	Snapshot record.ID `cbor:"1,keyasint"`
	Parts    int       `cbor:"2,keyasint"`
	Checksum uint64    `cbor:"3,keyasint"`
	Others   []Ref     `cbor:"4,keyasint,omitempty"`
}

// Encode returns the records of a snapshot with the given contents. The end
// record is last. The contents must not exceed [MaxBytes].
func Encode(ids *record.IDSource, c Contents, others []Ref) ([]record.Record, error) {
	return encodeParts(ids, c, others, MaxPartBytes)
}

// encodeParts is [Encode] with a given maximum size of a part.
func encodeParts(ids *record.IDSource, c Contents, others []Ref, partBytes int) ([]record.Record, error) {
	data, err := record.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("snapshot: encode %s: %w", c.Scope, err)
	}
	if len(data) > MaxBytes {
		return nil, fmt.Errorf("snapshot: %s has %d bytes, at most %d are allowed", c.Scope, len(data), MaxBytes)
	}
	end := End{Snapshot: ids.NextID(), Checksum: xxhash.Sum64(data), Others: others}
	var out []record.Record
	for remaining := data; len(remaining) > 0; end.Parts++ {
		n := min(len(remaining), partBytes)
		r, err := record.Encode(ids, record.SnapshotPart, Part{Snapshot: end.Snapshot, Index: end.Parts, Data: remaining[:n]})
		if err != nil {
			return nil, err
		}
		out, remaining = append(out, r), remaining[n:]
	}
	r, err := record.Encode(ids, record.SnapshotEnd, end)
	if err != nil {
		return nil, err
	}
	return append(out, r), nil
}

// decode joins the parts of a snapshot, checks the checksum and decodes the
// contents.
func decode(end End, parts [][]byte) (Contents, error) {
	data := bytes.Join(parts, nil)
	if xxhash.Sum64(data) != end.Checksum {
		return Contents{}, errChecksum
	}
	return record.Unmarshal[Contents](data)
}
