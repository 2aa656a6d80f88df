package config

import (
	"fmt"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// maxDifferenceLines is the maximum number of lines of a difference.
const maxDifferenceLines = 400

// Difference returns a unified diff from the committed text to the refused text
// of o, truncated after 400 lines. It is empty unless o is [Stale].
func (o *Outcome) Difference() string {
	if o.Result != Stale {
		return ""
	}
	return Difference(o.Version.Source, o.Refused, fmt.Sprintf("revision %d", o.Version.Revision), "refused change")
}

// Difference returns a unified diff from a to b, truncated after 400 lines. The
// header names the texts from and to. The diff is empty if the texts are equal.
func Difference(a, b []byte, from, to string) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(a)), FromFile: from,
		B: difflib.SplitLines(string(b)), ToFile: to,
		Context: 2,
	})
	if err != nil { // only a failing writer causes an error
		return ""
	}
	lines := strings.SplitAfter(text, "\n")
	if len(lines) <= maxDifferenceLines {
		return text
	}
	return strings.Join(lines[:maxDifferenceLines], "") + fmt.Sprintf("... %d more lines\n", len(lines)-maxDifferenceLines)
}
