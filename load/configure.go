package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	hosts "mimosadock/entry/platform"
	"mimosadock/load/target"
	"mimosadock/platform"
	"mimosadock/schedule/config"
	"mimosadock/schedule/member"
	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
)

// configuration names the stand-in that a run uses.
type configuration struct {
	journal string
	hosts   string
	slots   int
}

// configureTime bounds how long the stand-in may take to start.
const configureTime = 10 * time.Second

// apply appends the first change of the services text to the journal of the
// stand-in. It has the services of the load script before all listed executors.
func (c configuration) apply(ctx context.Context) error {
	if _, err := target.New([]string{c.journal, c.hosts}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, configureTime)
	defer cancel()
	listed, err := c.list(ctx)
	if err != nil {
		return err
	}
	change, err := config.NewChange(0, "load", config.Stamp(time.Now().UnixMilli()), []byte(textOf(listed, c.slots)))
	if err != nil {
		return err
	}
	origin := record.Origin{Writer: unit.Instance("load")}
	r, err := record.Encode(&origin, record.Change, change.Change)
	if err != nil {
		return err
	}
	var g record.Group
	if _, err := g.Add(r); err != nil {
		return err
	}
	j := platform.NewJournal(c.journal)
	defer j.Close()
	_, err = j.Append(ctx, g.Entry())
	return err
}

// list waits until the stand-in lists executors.
func (c configuration) list(ctx context.Context) ([]member.Listing, error) {
	const again = 100 * time.Millisecond
	h := hosts.NewHosts(c.hosts)
	for {
		rows, err := h.List(ctx)
		if err == nil && len(rows) > 0 {
			return rows, nil
		}
		if !wait(ctx, again) {
			return nil, fmt.Errorf("list of hosts: %w", err)
		}
	}
}

// textOf returns the services text for the listed executors.
func textOf(listed []member.Listing, slots int) string {
	var centres, members strings.Builder
	seen := make(map[unit.DataCentre]bool)
	for _, l := range listed {
		if l.Role != member.Executor {
			continue
		}
		if !seen[l.DataCentre] {
			seen[l.DataCentre] = true
			fmt.Fprintf(&centres, "  - {name: %s, region: lowland}\n", l.DataCentre)
		}
		fmt.Fprintf(&members, "      - {address: %q, dataCentre: %s}\n", l.Address, l.DataCentre)
	}
	return fmt.Sprintf(`version: 1
capacity: {cpu: 64000, memory: 65536}
dataCentres:
%steams:
  - {name: marts, quota: {cpu: 32000, memory: 32768}}
upstreamSets:
  - name: weighbook
    slots: %d
    members:
%sservices:
  - {name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true}
  - {name: weigh, team: marts, class: standard, upstreamSet: weighbook, deadlineMs: 4000}
  - {name: growth, team: marts, class: bulk, upstreamSet: weighbook, deadlineMs: 5000, idempotent: true}
  - {name: tags, team: marts, class: long, upstreamSet: weighbook, deadlineMs: 60000, idempotent: true}
`, centres.String(), slots, members.String())
}
