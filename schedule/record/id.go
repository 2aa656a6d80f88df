package record

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"

	"mimosadock/schedule/unit"
)

// ID is the id of a record, a UUID. Two records with the same id are the same
// record.
type ID [16]byte

// String returns the id in the usual notation of UUIDs.
func (id ID) String() string { return uuid.UUID(id).String() }

// MarshalText returns the id as String does.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads an id in the usual notation of UUIDs.
func (id *ID) UnmarshalText(text []byte) error {
	u, err := uuid.ParseBytes(text)
	*id = ID(u)
	return err
}

// counterBits is the width of the part of an id that counts up.
const counterBits = 48

// add returns the id n places after id in the sequence of one origin.
func (id ID) add(n uint64) ID {
	low := binary.BigEndian.Uint64(id[8:])
	const mask = 1<<counterBits - 1
	binary.BigEndian.PutUint64(id[8:], low&^mask|(low+n)&mask)
	return id
}

// Origin makes the records of one process. Its ids begin at a random UUID and
// count up, so that a group of them takes little space. It is safe for
// concurrent use. Writer must be set.
type Origin struct {
	Writer unit.Instance

	once   sync.Once
	base   ID
	issued atomic.Uint64
}

// NextID returns an id that no other call and no other origin returns.
func (o *Origin) NextID() ID {
	o.once.Do(func() { o.base = ID(uuid.New()) })
	return o.base.add(o.issued.Add(1))
}
