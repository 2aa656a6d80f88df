package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against an unknown error with the verdict DidNotRun, which would allow
// an unsafe retry.
func TestOf(t *testing.T) {
	tests := map[string]struct {
		err  error
		want Verdict
	}{
		"success":        {err: nil, want: Ran},
		"unknown":        {err: errors.New("reset"), want: MayHaveRun},
		"refused":        {err: Refuse("full"), want: DidNotRun},
		"wrapped":        {err: fmt.Errorf("send: %w", Refuse("full")), want: DidNotRun},
		"zero error":     {err: &Error{}, want: MayHaveRun},
		"ran, then lost": {err: &Error{Verdict: Ran}, want: Ran},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Of(tc.err), tc.want)
		})
	}
}

// Guards against verdict names that can't be decoded after they were encoded.
func TestTextRoundTrip(t *testing.T) {
	is := is.New(t)
	for v := MayHaveRun; v <= Ran; v++ {
		text, err := v.MarshalText()
		is.NoErr(err)
		var got Verdict
		is.NoErr(got.UnmarshalText(text))
		is.Equal(got, v)
	}
	var v Verdict
	is.True(v.UnmarshalText([]byte("perhaps")) != nil)
}
