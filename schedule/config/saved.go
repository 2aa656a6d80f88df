package config

import (
	"errors"

	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
)

// ErrHash means that a text is not the one that its hash was taken of.
var ErrHash = errors.New("config: hash does not match the text")

// ErrEmpty means that a saved register has no revision but a text.
var ErrEmpty = errors.New("config: text without a revision")

// Saved is a [Register] in the form that a snapshot keeps.
type Saved struct {
	Revision unit.Revision `cbor:"1,keyasint"`
	Hash     Hash          `cbor:"2,keyasint"`
	Packed   []byte        `cbor:"3,keyasint,omitempty"`
	History  []Past        `cbor:"4,keyasint,omitempty"`
}

// Save returns the state of r as the journal has it, for a snapshot at the
// position of r. It returns [ErrUndecided] if r doesn't follow the journal.
func (r *Register) Save() (Saved, error) {
	if !r.anchored {
		return Saved{}, ErrUndecided
	}
	s := Saved{Revision: r.chain.Revision, Hash: r.chain.Hash, History: r.History(nil)}
	if r.chain.Revision == 0 {
		return s, nil
	}
	var err error
	s.Packed, err = Pack(r.chain.Source)
	return s, err
}

// Restoration is a [Saved] that was read back and checked.
type Restoration struct {
	At      unit.Offset
	Version Version
	History []Past
}

// Open checks a saved register from the data of a snapshot at the offset.
func Open(at unit.Offset, data []byte) (Restoration, error) {
	s, err := record.Unmarshal[Saved](data)
	if err != nil {
		return Restoration{}, err
	}
	out := Restoration{At: at, History: s.History}
	if s.Revision == 0 {
		if len(s.Packed) > 0 {
			return Restoration{}, ErrEmpty
		}
		return out, nil
	}
	source, err := Unpack(s.Packed)
	if err != nil {
		return Restoration{}, err
	}
	out.Version, err = CheckVersion(s.Revision, s.Hash, source)
	return out, err
}

// Restore makes r follow the journal from the position of the snapshot and
// reports whether it did. A register that follows the journal already keeps
// its state, which is at least as new.
func (r *Register) Restore(s Restoration) bool {
	if r.anchored {
		return false
	}
	r.anchored, r.next, r.chain = true, s.At, s.Version
	r.history.Resize(HistoryLength)
	r.sized = true
	for _, p := range s.History[max(0, len(s.History)-HistoryLength):] {
		r.history.Add(p)
	}
	r.raise(s.Version)
	return true
}
