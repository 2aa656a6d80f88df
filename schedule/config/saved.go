package config

import (
	"errors"

	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
)

// ErrHash is returned for a text whose hash differs from the expected one.
var ErrHash = errors.New("config: hash does not match the text")

// ErrNoRevision is returned for a saved register with a text but no revision.
var ErrNoRevision = errors.New("config: text without a revision")

// SavedRegister is the encoded form of a [Register] in a snapshot. If Fresh is
// false, it holds the committed version. A fresh one holds the version in force,
// to restore a configuration that the journal has lost. It takes effect after
// the record that completes its snapshot.
type SavedRegister struct {
	Revision unit.Revision  `cbor:"1,keyasint"`
	Hash     Hash           `cbor:"2,keyasint"`
	Packed   []byte         `cbor:"3,keyasint,omitempty"`
	History  []HistoryEntry `cbor:"4,keyasint,omitempty"`
	Fresh    bool           `cbor:"5,keyasint,omitempty"`
}

// Save returns the state of r for a snapshot at the position of r. It holds the
// committed version, or is a fresh one with the version in force if r is
// [Register.Behind].
func (r *Register) Save() (SavedRegister, error) {
	v, history := r.committed, r.committedHistory
	if r.Behind() {
		v, history = r.inForce, r.inForceHistory
	}
	s := SavedRegister{Revision: v.Revision, Hash: v.Hash, History: history, Fresh: r.Behind()}
	if v.Revision == 0 {
		return s, nil
	}
	var err error
	s.Packed, err = Pack(v.Source)
	return s, err
}

// Restoration is the decoded and checked form of a [SavedRegister]. The snapshot
// covers all changes before the offset At.
type Restoration struct {
	At      unit.Offset
	Fresh   bool
	Version Version
	History []HistoryEntry
}

// DecodeSaved decodes and checks a saved register from a snapshot that covers
// all records before the offset.
func DecodeSaved(offset unit.Offset, data []byte) (Restoration, error) {
	s, err := record.Unmarshal[SavedRegister](data)
	if err != nil {
		return Restoration{}, err
	}
	out := Restoration{At: offset, Fresh: s.Fresh, History: s.History[max(0, len(s.History)-HistoryLength):]}
	if s.Revision == 0 {
		if len(s.Packed) > 0 {
			return Restoration{}, ErrNoRevision
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

// Restore attaches r to the journal at the position of the snapshot and reports
// whether it did. An attached register keeps its state, because that state is
// not older than the snapshot. Restore ignores a fresh snapshot, which takes
// effect in [Register.ApplySnapshot].
func (r *Register) Restore(s Restoration) bool {
	if r.attached || s.Fresh {
		return false
	}
	r.attachTo(s, s.At)
	return true
}

// ApplySnapshot processes the snapshot that the record at the offset completes.
// A fresh snapshot attaches r at the offset, unless r is attached and its
// committed revision is not lower.
//
// All readers apply a fresh snapshot at the same offset, that of the record that
// completes it. Two processes may write one at the same time. Neither has then
// read the other's, so the position of each snapshot lies before the end records
// of both. A reader that starts at either position reads both end records: it
// applies the snapshot that ends first, and the other only if its revision is
// higher.
//
// For a snapshot that isn't fresh, ApplySnapshot changes nothing. It then
// returns true if r is detached: the caller must read the journal again from the
// position of the snapshot to attach r.
func (r *Register) ApplySnapshot(offset unit.Offset, s Restoration) (rereadNeeded bool) {
	if !s.Fresh {
		return !r.attached
	}
	if offset >= r.nextOffset && (!r.attached || s.Version.Revision > r.committed.Revision) {
		r.attachTo(s, offset)
	}
	return false
}

// attachTo attaches r to the journal at the offset, with the version and history
// of s as the committed ones.
func (r *Register) attachTo(s Restoration, offset unit.Offset) {
	r.attached, r.nextOffset, r.committed, r.committedHistory = true, offset, s.Version, s.History
	r.putInForce(s.Version, s.History)
}
