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

// Version is a services text with its revision. Source is the text as bytes, and
// Text is its parsed and checked form.
type Version struct {
	Revision unit.Revision
	Hash     Hash
	Source   []byte
	Text     *service.Text
}

// HistoryEntry is an accepted change in the history, without its text.
type HistoryEntry struct {
	Revision unit.Revision `cbor:"1,keyasint" json:"revision"`
	ID       record.ID     `cbor:"2,keyasint" json:"id"`
	Author   Author        `cbor:"3,keyasint" json:"author"`
	When     Stamp         `cbor:"4,keyasint" json:"whenMs"`
	Hash     Hash          `cbor:"5,keyasint" json:"hash"`
}

// Result states whether a change was accepted and, if not, the reason.
type Result int

// The results of a change. A change is undecided if the register is detached from
// the journal, stale if its base revision isn't the committed one, and faulty if
// its author or text is invalid. It is already applied if it precedes the
// position of the register.
const (
	Undecided      Result = iota // undecided
	Accepted                     // accepted
	Stale                        // stale
	Faulty                       // faulty
	AlreadyApplied               // old
)

// Outcome describes how [Register.Apply] decided about a change. Version is the
// new version if the change was accepted, else the committed version. It is zero
// for an undecided change.
type Outcome struct {
	ID      record.ID
	Result  Result
	Version Version
	Refused []byte // text of a stale change
	Err     error  // set for a faulty or undecided change
}

// Register holds two versions of the configuration: the committed version,
// which results from the journal alone, and the version in force, which can be
// a higher one adopted from a peer.
//
// A register is attached while it has the committed version at its position in
// the journal. It then applies the changes of the journal in order. The zero
// value is detached. [Register.Attach], [Register.Restore] or a fresh snapshot in
// [Register.ApplySnapshot] attaches it. A fresh snapshot holds the version in
// force and is written after the journal has lost the committed one.
type Register struct {
	// Diverged counts conflicts: versions that have the revision in force but a
	// different text.
	Diverged uint64

	attached         bool
	nextOffset       unit.Offset // changes before this offset are applied
	committed        Version     // from the journal alone; used by the compare-and-set
	committedHistory history     // up to committed
	inForce          Version     // highest revision, committed or adopted
	inForceHistory   history     // up to inForce
}

// history is a list of accepted changes, oldest first. It is copied on every
// change, so that readers can share it.
type history []HistoryEntry

// with returns a copy of h with p appended and the oldest changes above
// HistoryLength removed.
func (h history) with(p HistoryEntry) history {
	first := max(0, len(h)+1-HistoryLength)
	return append(slices.Clone(h[first:]), p)
}

// Attach sets the position of r to the offset, with no committed version. The
// journal must have no configuration before the offset. Attach does nothing if r
// is attached.
func (r *Register) Attach(offset unit.Offset) {
	if !r.attached {
		r.attached, r.nextOffset, r.committed, r.committedHistory = true, offset, Version{}, nil
	}
}

// Detach detaches r from the journal after retention has removed entries that r
// hasn't applied. Changes are [Undecided] until r is attached again. The version
// in force doesn't change.
func (r *Register) Detach() { r.attached = false }

// IsAttached reports whether r is attached to the journal and can decide
// changes.
func (r *Register) IsAttached() bool { return r.attached }

// InForce returns the version in force. Its revision is zero if there is none.
func (r *Register) InForce() Version { return r.inForce }

// Next returns the position of r: the first offset whose change r has not
// applied.
func (r *Register) Next() unit.Offset { return r.nextOffset }

// Committed returns the committed version. The next change in the journal is
// compared with it.
func (r *Register) Committed() Version { return r.committed }

// History returns up to [HistoryLength] accepted changes up to the version in
// force, oldest first. The caller must not modify it.
func (r *Register) History() []HistoryEntry { return r.inForceHistory }

// Behind reports whether r is detached or its committed revision is lower than
// the one in force. If Behind returns true after the journal was read to its
// end, the journal has lost the configuration, and a fresh snapshot must restore
// it.
func (r *Register) Behind() bool { return !r.attached || r.inForce.Revision > r.committed.Revision }

// Apply applies the change that the journal has at the offset. It accepts the
// change if its base is the committed revision and its text has no faults. See
// [Result] for the other results.
func (r *Register) Apply(offset unit.Offset, id record.ID, c CheckedChange) Outcome {
	switch {
	case !r.attached:
		return Outcome{ID: id, Result: Undecided, Err: ErrUndecided}
	case offset < r.nextOffset:
		return Outcome{ID: id, Result: AlreadyApplied, Version: r.committed}
	case c.Base != r.committed.Revision:
		return Outcome{ID: id, Result: Stale, Version: r.committed, Refused: c.Source}
	case c.Err != nil:
		return Outcome{ID: id, Result: Faulty, Version: r.committed, Err: c.Err}
	}
	r.committed = Version{Revision: r.committed.Revision + 1, Hash: HashOf(c.Source), Source: c.Source, Text: c.Text}
	r.committedHistory = r.committedHistory.with(HistoryEntry{Revision: r.committed.Revision, ID: id, Author: c.Author, When: c.When, Hash: r.committed.Hash})
	r.putInForce(r.committed, r.committedHistory)
	return Outcome{ID: id, Result: Accepted, Version: r.committed}
}

// Advance sets the position of r after all changes before the offset were passed
// to Apply. It never moves the position back.
func (r *Register) Advance(offset unit.Offset) { r.nextOffset = max(r.nextOffset, offset) }

// putInForce puts v into force if its revision is higher than the one in force,
// and reports whether it did. It counts a different text of the same revision in
// Diverged.
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

// Adoption is the result of [Register.Adopt].
type Adoption int

// The results of an adoption. Only Adopted changes the version in force.
const (
	LowerRevision Adoption = iota // lower
	SameVersion                   // same
	Conflicting                   // differs
	Corrupt                       // corrupt
	Adopted                       // adopted
)

// Adopt puts the version of a peer into force if its revision is higher than
// the one in force. The version must come from [CheckVersion]. The committed
// version doesn't change. history is the history of the peer; the caller must
// not modify it afterwards.
func (r *Register) Adopt(v Version, history []HistoryEntry) Adoption {
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
	r.putInForce(v, history[max(0, len(history)-HistoryLength):])
	return Adopted
}

// CheckVersion parses and checks source and returns it as a version. The error
// is [ErrHash] if hash isn't that of source, else of type [service.Faults].
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
