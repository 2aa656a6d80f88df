package verdict

import (
	"errors"
	"fmt"

	"mimosadock/schedule/clock"
)

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict tells whether a request or a command may have run. The zero value is
// the careful one.
type Verdict int

// The verdicts.
const (
	MayHaveRun Verdict = iota // mayHaveRun
	DidNotRun                 // didNotRun
	Ran                       // ran
)

// MarshalText returns the camel-case name of v.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets v from its camel-case name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for c := MayHaveRun; c <= Ran; c++ {
		if c.String() == string(text) {
			*v = c
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}

// Error is an error that knows whether the work it speaks of may have run.
type Error struct {
	Verdict    Verdict
	Reason     string     // plain text for the caller
	RetryAfter clock.Span // zero if a retry makes no sense or may be made at once
	Err        error      // cause, may be nil
}

// Error returns the reason, the verdict and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refuse returns an error with the verdict [DidNotRun].
func Refuse(format string, args ...any) *Error {
	return &Error{Verdict: DidNotRun, Reason: fmt.Sprintf(format, args...)}
}

// Of returns the verdict of err: [Ran] for nil, that of the first [Error] in
// its chain, and [MayHaveRun] for any other error.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
