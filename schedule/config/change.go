package config

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"mimosadock/schedule/journal"
	"mimosadock/schedule/record"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Author is the name of the operator who made a change.
type Author string

// maxAuthorBytes is the maximum size of an author's name.
const maxAuthorBytes = 256

// Stamp is a wall-clock time in milliseconds since 1970, like [unit.UnixMillis].
// It is only shown to operators; no decision depends on it.
type Stamp int64

// Hash is the xxhash of a services text. It distinguishes two texts with the
// same revision.
type Hash uint64

// HashOf returns the hash of a text.
func HashOf(source []byte) Hash { return Hash(xxhash.Sum64(source)) }

// Change is the body of a change record. Packed is the deflated text, so that a
// large text fits into one entry.
type Change struct {
	Base   unit.Revision `cbor:"1,keyasint"`
	Author Author        `cbor:"2,keyasint"`
	When   Stamp         `cbor:"3,keyasint"`
	Packed []byte        `cbor:"4,keyasint"`
}

// deflaters reuses the writers of Pack, which take 800 kB each.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestCompression)
	if err != nil {
		panic("config: invalid compression level")
	}
	return w
}}

// Pack returns the deflated text.
func Pack(source []byte) ([]byte, error) {
	var buf bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(source); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

var errTextTooLarge = fmt.Errorf("config: text has more than %d bytes", service.MaxTextBytes)

// Unpack inflates a text from Pack. It returns an error for invalid data or for
// a text of more than [service.MaxTextBytes].
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer r.Close()
	source, err := io.ReadAll(io.LimitReader(r, service.MaxTextBytes+1))
	if err != nil {
		return nil, fmt.Errorf("config: unpack text: %w", err)
	}
	if len(source) > service.MaxTextBytes {
		return nil, errTextTooLarge
	}
	return source, nil
}

// CheckedChange is a change with its text, inflated in Source and parsed in Text.
// Err is nil if the author and the text are valid.
type CheckedChange struct {
	Change
	Source []byte
	Text   *service.Text
	Err    error
}

// Check checks the author of a change and inflates and parses its text. It takes
// about as long as [service.Parse], so callers run it outside the control
// goroutine.
func Check(c Change) CheckedChange {
	out := CheckedChange{Change: c}
	if c.Author == "" || len(c.Author) > maxAuthorBytes {
		out.Err = fmt.Errorf("config: author must have 1 to %d bytes", maxAuthorBytes)
		return out
	}
	if out.Source, out.Err = Unpack(c.Packed); out.Err == nil {
		out.Text, out.Err = service.Parse(out.Source)
	}
	return out
}

// NewChange returns a checked change with the given text. The error is of type
// [service.Faults] if the text has faults, and wraps [journal.ErrTooLarge] if
// the packed text doesn't fit into an entry.
func NewChange(base unit.Revision, author Author, when Stamp, source []byte) (CheckedChange, error) {
	packed, err := Pack(source)
	if err != nil {
		return CheckedChange{}, err
	}
	c := Check(Change{Base: base, Author: author, When: when, Packed: packed})
	if c.Err != nil {
		return CheckedChange{}, c.Err
	}
	if unit.Bytes(len(packed))+2*maxAuthorBytes > record.MaxBodyBytes {
		return CheckedChange{}, fmt.Errorf("config: text of %d bytes, packed %d: %w", len(source), len(packed), journal.ErrTooLarge)
	}
	return c, nil
}

// ErrUndecided is the error of a change that the process can't decide about,
// because it doesn't have the committed version to compare the change with.
var ErrUndecided = errors.New("config: revisions before the change are not known")
