package record

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
)

// Version is the version of the record envelope.
type Version uint8

// CurrentVersion is the only envelope version that this package writes and reads.
const CurrentVersion Version = 1

// Limits of a record. They ensure that every record fits into an empty entry: 256
// bytes are an upper bound of the entry header and the record envelope.
const (
	MaxBodyBytes   = journal.MaxEntryBytes - 256
	maxWriterBytes = 128
)

// Limits of decoding.
const (
	maxDepth    = 16
	maxElements = 1 << 16 // of one array or map
)

// Record is a record of the journal. ID, Writer and Kind must be set. Body is the
// CBOR encoding of the body.
type Record struct {
	Version Version
	ID      ID
	Writer  unit.Instance
	Kind    Kind
	Body    cbor.RawMessage
}

// ErrIncomplete is returned for a record that has no kind, no writer, or a
// writer of more than 128 bytes.
var ErrIncomplete = errors.New("record: no kind or no usable writer")

// Check returns an error if r is not valid: [ErrIncomplete], or an error that
// wraps [journal.ErrTooLarge] if the body exceeds [MaxBodyBytes].
func (r *Record) Check() error {
	if r.Kind == Unset || r.Writer == "" || len(r.Writer) > maxWriterBytes {
		return ErrIncomplete
	}
	if unit.Bytes(len(r.Body)) > MaxBodyBytes {
		return fmt.Errorf("record: %s of %d bytes: %w", r.Kind, len(r.Body), journal.ErrTooLarge)
	}
	return nil
}

var (
	encoder = must(cbor.CoreDetEncOptions().EncMode())
	decoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxDepth,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic("record: invalid CBOR options")
	}
	return m
}

// Marshal returns the deterministic CBOR encoding of v, as used for bodies.
func Marshal[B any](v B) ([]byte, error) { return encoder.Marshal(v) }

// Unmarshal decodes a value that Marshal encoded. It returns an error if data
// exceeds the decoding limits of this package or has bytes after the value.
func Unmarshal[B any](data []byte) (B, error) {
	var v B
	err := decoder.Unmarshal(data, &v)
	return v, err
}

// Encode returns a new record with the next id of ids and the given body. It returns an error if
// the body can't be encoded, or the error of [Record.Check].
func Encode[B any](ids *IDSource, k Kind, body B) (Record, error) {
	data, err := encoder.Marshal(body)
	if err != nil {
		return Record{}, fmt.Errorf("record: encode %s: %w", k, err)
	}
	r := Record{Version: CurrentVersion, ID: ids.NextID(), Writer: ids.Writer, Kind: k, Body: data}
	return r, r.Check()
}

// Decode returns the decoded body of r.
func Decode[B any](r Record) (B, error) {
	body, err := Unmarshal[B](r.Body)
	if err != nil {
		return body, fmt.Errorf("record: decode %s %s: %w", r.Kind, r.ID, err)
	}
	return body, nil
}
