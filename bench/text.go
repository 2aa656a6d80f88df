package main

import (
	"fmt"
	"strings"
	"testing"

	"mimosadock/bench/measure"
	"mimosadock/schedule/service"
)

// Targets of section 13 for a services text.
const (
	textServices   = 1000
	textYardsticks = 100_000 // 100 ms
)

func textMeasures() measure.Group {
	return measure.Group{
		"text.check1000.yardsticks": measure.Yardsticks(textYardsticks, parse(textServices)),
		// Twice the services may take at most about twice the time; a
		// quadratic check takes four times.
		"text.check2000.growth": measure.Ratio(3, parse(2*textServices), parse(textServices)),
	}
}

func parse(services int) func(b *testing.B) {
	text := []byte(servicesText(services))
	return func(b *testing.B) {
		for range b.N {
			if _, err := service.Parse(text); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// servicesText returns a text with n services that depend on each other.
func servicesText(n int) string {
	var b strings.Builder
	b.WriteString(`version: 1
capacity: {cpu: 64000, memory: 65536}
dataCentres:
  - {name: kelso, region: lowland}
teams:
  - {name: marts, quota: {cpu: 32000, memory: 32768}}
upstreamSets:
  - {name: weighbook, slots: 8}
services:
`)
	for i := range n {
		fmt.Fprintf(&b, "  - {name: s%d, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true", i)
		if i > 0 {
			fmt.Fprintf(&b, ", dependsOn: [s%d]", (i-1)/2)
		}
		b.WriteString("}\n")
	}
	return b.String()
}
