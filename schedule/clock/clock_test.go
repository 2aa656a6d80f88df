package clock

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an overflow that turns a distant deadline into one in the past.
func TestAddSaturates(t *testing.T) {
	tests := map[string]struct {
		at   Millis
		span Span
		want Millis
	}{
		"plain":           {at: 10, span: 5, want: 15},
		"backwards":       {at: 10, span: -5, want: 5},
		"never stays":     {at: Never, span: Hour, want: Never},
		"overflow to max": {at: Never - 3, span: 10, want: Never},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tc.at.Add(tc.span), tc.want)
		})
	}
}

// Guards against a test that moves its clock backwards without an error.
func TestManualRefusesEarlierInstant(t *testing.T) {
	is := is.New(t)
	var m Manual
	m.Advance(7)
	is.Equal(m.Now(), Millis(7))
	defer func() { is.True(recover() != nil) }()
	m.Set(6)
}
