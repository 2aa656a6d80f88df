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

// SavedRegister is a [Register] in the form that a snapshot keeps. A fresh one doesn't
// come from the journal: it brings a configuration back that the journal has
// lost, and takes effect behind the record that completes its snapshot.
type SavedRegister struct {
	Revision unit.Revision `cbor:"1,keyasint"`
	Hash     Hash          `cbor:"2,keyasint"`
	Packed   []byte        `cbor:"3,keyasint,omitempty"`
	History  []Past        `cbor:"4,keyasint,omitempty"`
	Fresh    bool          `cbor:"5,keyasint,omitempty"`
}

// Save returns the state of r as the journal has it, for a snapshot at the
// position of r. If r is [Register.Behind], it is a fresh one of the version in
// force.
func (r *Register) Save() (SavedRegister, error) {
	v, past := r.committed, r.committedHistory
	if r.Behind() {
		v, past = r.inForce, r.inForceHistory
	}
	s := SavedRegister{Revision: v.Revision, Hash: v.Hash, History: past, Fresh: r.Behind()}
	if v.Revision == 0 {
		return s, nil
	}
	var err error
	s.Packed, err = Pack(v.Source)
	return s, err
}

// Restoration is a [Saved] that was read back and checked.
type Restoration struct {
	At      unit.Offset
	Fresh   bool
	Version Version
	History []Past
}

// Open checks a saved register from the data of a snapshot at the offset.
func Open(at unit.Offset, data []byte) (Restoration, error) {
	s, err := record.Unmarshal[SavedRegister](data)
	if err != nil {
		return Restoration{}, err
	}
	out := Restoration{At: at, Fresh: s.Fresh, History: s.History[max(0, len(s.History)-HistoryLength):]}
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
// its state, which is at least as new. A fresh snapshot isn't restored but met
// in the journal.
func (r *Register) Restore(s Restoration) bool {
	if r.attached || s.Fresh {
		return false
	}
	r.attachTo(s, s.At)
	return true
}

// Meet takes in the snapshot that the record at the offset completes. A fresh
// one makes r follow the journal from there, unless r follows it already from
// a revision that isn't lower. All readers meet it at the same place: whoever
// wrote a fresh one had not met another, so that a reader which begins at its
// position meets the first of them. Meet reports whether an unfresh snapshot
// would let r follow the journal if it read again from the position of the
// snapshot.
func (r *Register) Meet(at unit.Offset, s Restoration) (rereadNeeded bool) {
	if !s.Fresh {
		return !r.attached
	}
	if at >= r.nextOffset && (!r.attached || s.Version.Revision > r.committed.Revision) {
		r.attachTo(s, at)
	}
	return false
}

func (r *Register) attachTo(s Restoration, at unit.Offset) {
	r.attached, r.nextOffset, r.committed, r.committedHistory = true, at, s.Version, s.History
	r.putInForce(s.Version, s.History)
}
