package service

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const valid = `version: 1
capacity: {cpu: 1000, memory: 1000, accelerators: 2}
dataCentres:
  - {name: kelso, region: lowland}
teams:
  - {name: marts, quota: {cpu: 600, memory: 500}}
  - {name: farms, quota: {cpu: 400, memory: 500}}
upstreamSets:
  - {name: weighbook, slots: 8, members: [{address: "127.0.0.1:9001", dataCentre: kelso}]}
services:
  - {name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true}
  - {name: watch, team: farms, class: long, upstreamSet: weighbook, deadlineMs: 600000, dependsOn: [lookup]}
kinds:
  - {name: growthReport, team: farms, class: batch, resources: {cpu: 100, memory: 64}, dependsOn: [lookup]}
`

// Guards against a fault that the check misses or reports at the wrong position.
func TestParse(t *testing.T) {
	replace := func(old, repl string) string { return strings.Replace(valid, old, repl, 1) }
	tests := map[string]struct {
		text string
		line int    // line of the first fault; 0 if there is no fault, -1 if it has no line
		want string // part of the message
	}{
		"valid":              {text: valid},
		"empty":              {text: "", line: 1, want: "empty"},
		"not YAML":           {text: "a: [", line: 1},
		"unknown field":      {text: replace("slots: 8", "slotz: 8"), line: 9, want: "slotz"},
		"duplicate field":    {text: "version: 1\nversion: 1\n", line: 2, want: "already"},
		"wrong type":         {text: replace("slots: 8", "slots: many"), line: 9},
		"unknown class":      {text: replace("class: urgent", "class: soon"), line: 11, want: "urgent, standard"},
		"wrong version":      {text: replace("version: 1", "version: 7"), line: 1, want: "supported"},
		"unknown team":       {text: replace("team: marts, class", "team: nobody, class"), line: 11, want: "nobody"},
		"unknown set":        {text: replace("upstreamSet: weighbook", "upstreamSet: other"), line: 11, want: "other"},
		"unknown dependency": {text: replace("dependsOn: [lookup]", "dependsOn: [gone]"), line: 12, want: "gone"},
		"duplicate name":     {text: replace("name: watch", "name: lookup"), line: 12, want: "already used"},
		"kind named service": {text: replace("name: growthReport", "name: lookup"), line: 14, want: "already a service"},
		"cycle":              {text: replace("idempotent: true", "idempotent: true, dependsOn: [watch]"), line: 12, want: "lookup -> watch -> lookup"},
		"self-dependency":    {text: replace("dependsOn: [lookup]", "dependsOn: [watch]"), line: 12, want: "itself"},
		"quota over capacity": {
			text: replace("quota: {cpu: 600", "quota: {cpu: 601"), line: 2, want: "add up",
		},
		"zero slots":               {text: replace("slots: 8", "slots: 0"), line: 9, want: "slots is 0"},
		"host name":                {text: replace("127.0.0.1:9001", "host:9001"), line: 9, want: "IP number"},
		"unknown centre":           {text: replace("dataCentre: kelso", "dataCentre: oban"), line: 9, want: "oban"},
		"no deadline":              {text: replace("deadlineMs: 2000", "deadlineMs: 0"), line: 11, want: "deadline"},
		"hedge without idempotent": {text: replace("idempotent: true", "hedge: true"), line: 11, want: "idempotent"},
		"zero cpu":                 {text: replace("cpu: 100, memory: 64", "cpu: 0, memory: 64"), line: 14, want: "cpu"},
		"negative quota":           {text: replace("quota: {cpu: 400", "quota: {cpu: -4"), line: 7, want: "negative"},
		"bad token":                {text: valid + "operators: [secret]\n", line: 15, want: "SHA-256"},
		"second document":          {text: valid + "---\nversion: 1\n", line: 15, want: "document"},
		"alias":                    {text: "version: &v 1\n", line: 1, want: "alias"},
		"over the size limit":      {text: strings.Repeat("#", MaxTextBytes+1), line: -1, want: "bytes"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(tc.text))
			if tc.line == 0 {
				is.NoErr(err)
				return
			}
			var faults Faults
			is.True(errors.As(err, &faults))
			t.Log(faults)
			if tc.line > 0 {
				is.Equal(faults[0].Line, tc.line)
				is.True(faults[0].Column > 0)
			}
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}

// largeText returns a text with n services, each of which depends on the one
// before.
func largeText(n int) string {
	var b strings.Builder
	b.WriteString(strings.SplitAfter(valid, "services:\n")[0])
	for i := range n {
		fmt.Fprintf(&b, "  - {name: s%d, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000", i)
		if i > 0 {
			fmt.Fprintf(&b, ", dependsOn: [s%d]", i-1)
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// Guards against a parse time that grows faster than the size of the text.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{100, 1000} {
		text := []byte(largeText(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against a panic on a malformed text and against a result without either
// a text or an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("services: [{name: a, dependsOn: [a]}]"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := Parse(data)
		if (text == nil) == (err == nil) {
			t.Fatal("Parse must return either a text or an error")
		}
	})
}
