package config

import (
	"slices"

	"mimosadock/schedule/record"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=Result,Adoption -linecomment -output=enums_string.go

// HistoryLength is how many accepted changes a [Register] keeps.
const HistoryLength = 200

// Version is a text with its revision. Text is the checked form of Source.
type Version struct {
	Revision unit.Revision
	Hash     Hash
	Source   []byte
	Text     *service.Text
}

// Past is an accepted change of the history.
type Past struct {
	Revision unit.Revision `cbor:"1,keyasint" json:"revision"`
	ID       record.ID     `cbor:"2,keyasint" json:"id"`
	Author   Author        `cbor:"3,keyasint" json:"author"`
	When     Stamp         `cbor:"4,keyasint" json:"whenMs"`
	Hash     Hash          `cbor:"5,keyasint" json:"hash"`
}

// Result is what came of a change.
type Result int

// The results of a change.
const (
	Undecided Result = iota // undecided
	Accepted                // accepted
	Stale                   // stale
	Faulty                  // faulty
	Old                     // old
)

// Outcome is the result of a change and the version it was compared with or,
// if it was accepted, has become.
type Outcome struct {
	ID      record.ID
	Result  Result
	Version Version
	Refused []byte // text of a stale change
	Err     error  // of a faulty change
}

// Register holds the configuration as the journal has it and as it is in
// force. The zero value knows nothing; [Register.Anchor] or
// [Register.Restore] makes it follow the journal.
type Register struct {
	Diverged uint64 // versions of peers with a known revision and another text

	attached         bool
	nextOffset       unit.Offset // changes before this offset are applied
	committed        Version     // from the journal alone; compare-and-set uses it
	committedHistory history     // of chain
	inForce          Version     // highest of chain and adopted
	inForceHistory   history     // of inForce
}

// history is a list of accepted changes, oldest first. It is copied on change,
// so that it can be shared.
type history []Past

func (h history) with(p Past) history {
	first := max(0, len(h)+1-HistoryLength)
	return append(slices.Clone(h[first:]), p)
}

// Anchor makes r follow a journal that begins at the offset with no
// configuration.
func (r *Register) Anchor(at unit.Offset) {
	if !r.attached {
		r.attached, r.nextOffset, r.committed, r.committedHistory = true, at, Version{}, nil
	}
}

// Detach makes r decide no changes until it is restored, because entries that
// it hasn't read are gone. The version in force stays.
func (r *Register) Detach() { r.attached = false }

// Anchored reports whether r can tell what comes of a change.
func (r *Register) Anchored() bool { return r.attached }

// InForce returns the version in force. Its revision is zero if there is none.
func (r *Register) InForce() Version { return r.inForce }

// Next returns the offset before which all changes are applied.
func (r *Register) Next() unit.Offset { return r.nextOffset }

// Chain returns the version that the next change of the journal is compared
// with.
func (r *Register) Chain() Version { return r.committed }

// History returns the accepted changes up to the version in force, as far as
// they are known, oldest first. It must not be changed.
func (r *Register) History() []Past { return r.inForceHistory }

// Behind reports whether r doesn't follow the journal, or follows it from a
// lower revision than the one in force although it is at its end. The journal
// has then lost the configuration, and a fresh snapshot has to bring it back.
func (r *Register) Behind() bool { return !r.attached || r.inForce.Revision > r.committed.Revision }

// Apply compares a change of the journal at the offset with the configuration
// before it. A change from before the position of r is [Old].
func (r *Register) Apply(at unit.Offset, id record.ID, c Checked) Outcome {
	switch {
	case !r.attached:
		return Outcome{ID: id, Result: Undecided, Err: ErrUndecided}
	case at < r.nextOffset:
		return Outcome{ID: id, Result: Old, Version: r.committed}
	case c.Base != r.committed.Revision:
		return Outcome{ID: id, Result: Stale, Version: r.committed, Refused: c.Source}
	case c.Err != nil:
		return Outcome{ID: id, Result: Faulty, Version: r.committed, Err: c.Err}
	}
	r.committed = Version{Revision: r.committed.Revision + 1, Hash: HashOf(c.Source), Source: c.Source, Text: c.Text}
	r.committedHistory = r.committedHistory.with(Past{Revision: r.committed.Revision, ID: id, Author: c.Author, When: c.When, Hash: r.committed.Hash})
	r.putInForce(r.committed, r.committedHistory)
	return Outcome{ID: id, Result: Accepted, Version: r.committed}
}

// Advance notes that all records before the offset were handed to Apply.
func (r *Register) Advance(to unit.Offset) { r.nextOffset = max(r.nextOffset, to) }

// putInForce puts v into force if its revision is higher.
func (r *Register) putInForce(v Version, h history) bool {
	if v.Revision == r.inForce.Revision && v.Revision > 0 && v.Hash != r.inForce.Hash {
		r.Diverged++
	}
	if v.Revision <= r.inForce.Revision {
		return false
	}
	r.inForce, r.inForceHistory = v, h
	return true
}

// Adoption is what came of a version that a peer has.
type Adoption int

// The results of an adoption.
const (
	LowerRevision Adoption = iota // lower
	SameVersion                   // same
	Conflicting                   // differs
	Corrupt                       // corrupt
	Adopted                       // adopted
)

// Adopt puts the version of a peer into force if its revision is higher. The
// version must have been checked with [CheckVersion]. The compare-and-set
// goes on with what the journal says. Past is the history of the peer and must
// not be changed afterwards.
func (r *Register) Adopt(v Version, past []Past) Adoption {
	switch {
	case v.Revision < r.inForce.Revision:
		return LowerRevision
	case v.Revision == r.inForce.Revision:
		if v.Hash == r.inForce.Hash {
			return SameVersion
		}
		r.Diverged++
		return Conflicting
	case v.Text == nil || HashOf(v.Source) != v.Hash:
		return Corrupt
	}
	r.putInForce(v, past[max(0, len(past)-HistoryLength):])
	return Adopted
}

// CheckVersion returns the version with the given text, checked. The error is
// of type [service.Faults] or, if the hash is wrong, [ErrHash].
func CheckVersion(revision unit.Revision, hash Hash, source []byte) (Version, error) {
	if HashOf(source) != hash {
		return Version{}, ErrHash
	}
	text, err := service.Parse(source)
	if err != nil {
		return Version{}, err
	}
	return Version{Revision: revision, Hash: hash, Source: source, Text: text}, nil
}
