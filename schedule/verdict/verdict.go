package verdict

import (
	"errors"
	"fmt"

	"mimosadock/schedule/clock"
)

//go:generate go tool stringer -type=Verdict -linecomment

// Verdict states whether a request or a command has run. The zero value is
// [MayHaveRun], the safe assumption for an unknown error.
type Verdict int

// The verdicts.
const (
	MayHaveRun Verdict = iota // mayHaveRun
	DidNotRun                 // didNotRun
	Ran                       // ran
)

// MarshalText returns the camel-case name of v.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText sets v from its camel-case name. It returns an error for an
// unknown name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for c := MayHaveRun; c <= Ran; c++ {
		if c.String() == string(text) {
			*v = c
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}

// Error is an error with a verdict on the request or command that failed.
type Error struct {
	Verdict    Verdict
	Reason     string     // plain text for the caller
	RetryAfter clock.Span // delay before a retry; zero if there is no delay or a retry is pointless
	Err        error      // cause; can be nil
}

// Error returns the reason, the verdict and, if there is one, the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refuse returns an error with the verdict [DidNotRun] and a formatted reason.
func Refuse(format string, args ...any) *Error {
	return &Error{Verdict: DidNotRun, Reason: fmt.Sprintf(format, args...)}
}

// Of returns the verdict of err. It is [Ran] for nil, the verdict of the first
// [Error] in the chain of err if there is one, and else [MayHaveRun].
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
