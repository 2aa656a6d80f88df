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

// Author names who made a change.
type Author string

// maxAuthorBytes bounds the name of an author.
const maxAuthorBytes = 256

// Stamp is a wall-clock time in milliseconds since 1970. It is shown to
// operators and decides nothing.
type Stamp int64

// Hash is the xxhash of a services text. It tells two texts of one revision
// apart.
type Hash uint64

// HashOf returns the hash of a text.
func HashOf(source []byte) Hash { return Hash(xxhash.Sum64(source)) }

// Change is the body of a change record. Packed is the text, deflated so that
// a large text fits into one entry.
type Change struct {
	Base   unit.Revision `cbor:"1,keyasint"`
	Author Author        `cbor:"2,keyasint"`
	When   Stamp         `cbor:"3,keyasint"`
	Packed []byte        `cbor:"4,keyasint"`
}

// deflaters keeps the writers of Pack, each of which takes up 800 kB.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestCompression)
	if err != nil {
		panic("config: invalid compression level")
	}
	return w
}}

// Pack deflates a text.
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

// Unpack inflates what Pack returned. A text above [service.MaxTextBytes] is
// an error.
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

// Checked is a change with its text checked. Err is nil if the text may be
// accepted.
type Checked struct {
	Change
	Source []byte
	Text   *service.Text
	Err    error
}

// Check unpacks and checks the text of a change. It takes as long as
// [service.Parse] and is meant to run outside the control goroutine.
func Check(c Change) Checked {
	out := Checked{Change: c}
	if c.Author == "" || len(c.Author) > maxAuthorBytes {
		out.Err = fmt.Errorf("config: author must have 1 to %d bytes", maxAuthorBytes)
		return out
	}
	if out.Source, out.Err = Unpack(c.Packed); out.Err == nil {
		out.Text, out.Err = service.Parse(out.Source)
	}
	return out
}

// NewChange returns a checked change. The error is one of [service.Faults], or
// wraps [journal.ErrTooLarge] if the packed text doesn't fit into an entry.
func NewChange(base unit.Revision, author Author, when Stamp, source []byte) (Checked, error) {
	packed, err := Pack(source)
	if err != nil {
		return Checked{}, err
	}
	c := Check(Change{Base: base, Author: author, When: when, Packed: packed})
	if c.Err != nil {
		return Checked{}, c.Err
	}
	if unit.Bytes(len(packed))+2*maxAuthorBytes > record.MaxBodyBytes {
		return Checked{}, fmt.Errorf("config: text of %d bytes, packed %d: %w", len(source), len(packed), journal.ErrTooLarge)
	}
	return c, nil
}

// ErrUndecided means that the process doesn't know the configuration that a
// change was compared with, so that it can't tell what came of the change.
var ErrUndecided = errors.New("config: revisions before the change are not known")
