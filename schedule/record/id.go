package record

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"mimosadock/schedule/unit"
)

// ID is the id of a record, a UUID. Two records with the same id are copies of
// one record.
type ID [16]byte

// String returns the id in the standard text form of UUIDs.
func (id ID) String() string { return uuid.UUID(id).String() }

// MarshalText returns the same text as String.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText sets the id from the standard text form of UUIDs.
func (id *ID) UnmarshalText(text []byte) error {
	u, err := uuid.ParseBytes(text)
	*id = ID(u)
	return err
}

// counterBits is the number of low bits of an id that hold the counter.
const counterBits = 48

// add returns the id n places after id in the sequence of its source.
func (id ID) add(n uint64) ID {
	low := binary.BigEndian.Uint64(id[8:])
	const mask = 1<<counterBits - 1
	binary.BigEndian.PutUint64(id[8:], low&^mask|(low+n)&mask)
	return id
}

// IDSource generates the ids of the records that one process writes. The ids
// count up from a random UUID, so consecutive ids take little space in an entry.
// Writer must be set. IDSource is safe for concurrent use.
type IDSource struct {
	Writer unit.Instance

	once   sync.Once
	base   ID
	issued atomic.Uint64 // number of ids returned
}

// NextID returns a new id, which is unique across all sources.
func (s *IDSource) NextID() ID {
	s.once.Do(func() { s.base = ID(uuid.New()) })
	return s.base.add(s.issued.Add(1))
}
