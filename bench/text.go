package main

import (
	"fmt"
	"strings"
	"testing"

	"mimosadock/bench/measure"
	"mimosadock/schedule/service"
)

// Size and bound of section 13 of the design page for the check of a services
// text.
const (
	textServices      = 1000
	maxTextYardsticks = 100_000 // 100 ms at 1 us per yardstick
)

func textMeasures() measure.Group {
	return measure.Group{
		"text.check1000.yardsticks": measure.Yardsticks(maxTextYardsticks, benchmarkParse(textServices)),
		// Twice the services should take about twice the time. A quadratic
		// check takes four times the time and exceeds the bound.
		"text.check2000.growth": measure.Ratio(3, benchmarkParse(2*textServices), benchmarkParse(textServices)),
	}
}

// benchmarkParse returns a benchmark that parses and checks a text with the
// given number of services.
func benchmarkParse(services int) func(b *testing.B) {
	text := []byte(servicesText(services))
	return func(b *testing.B) {
		for range b.N {
			if _, err := service.Parse(text); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// servicesText returns a services text with n services. Each service but the
// first depends on an earlier one.
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
