package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	entryplatform "mimosadock/entry/platform"
	"mimosadock/load/target"
	"mimosadock/platform"
	"mimosadock/schedule/config"
	"mimosadock/schedule/member"
	"mimosadock/schedule/record"
	"mimosadock/schedule/unit"
)

// standinConfig has the addresses of the program standin, which simulates the
// platform, and the number of slots of each upstream in the services text.
type standinConfig struct {
	journal string // address of the journal
	hosts   string // address of the list of hosts
	slots   int    // of each upstream
}

// configureTimeout is the maximum time of [standinConfig.apply], including the
// start of the stand-in.
const configureTimeout = 10 * time.Second

// apply appends the first change of the services text to the journal of the
// stand-in. The text has the services of the load script, which use all listed
// executors as upstreams. Both addresses must be loopback addresses.
func (c standinConfig) apply(ctx context.Context) error {
	if _, err := target.New([]string{c.journal, c.hosts}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, configureTimeout)
	defer cancel()
	listed, err := c.waitForHosts(ctx)
	if err != nil {
		return err
	}
	change, err := config.NewChange(0, "load", config.Stamp(time.Now().UnixMilli()), []byte(servicesText(listed, c.slots)))
	if err != nil {
		return err
	}
	idSource := record.IDSource{Writer: unit.Instance("load")}
	r, err := record.Encode(&idSource, record.Change, change.Change)
	if err != nil {
		return err
	}
	var builder record.EntryBuilder
	if _, err := builder.Add(r); err != nil {
		return err
	}
	j := platform.NewJournal(c.journal)
	defer j.Close()
	_, err = j.Append(ctx, builder.Entry())
	return err
}

// waitForHosts waits until the list of hosts of the stand-in is not empty and
// returns the list. It returns an error if ctx is done before.
func (c standinConfig) waitForHosts(ctx context.Context) ([]member.Listing, error) {
	const retryInterval = 100 * time.Millisecond
	h := entryplatform.NewHosts(c.hosts)
	for {
		rows, err := h.List(ctx)
		if err == nil && len(rows) > 0 {
			return rows, nil
		}
		if !sleep(ctx, retryInterval) {
			return nil, fmt.Errorf("list of hosts: %w", err)
		}
	}
}

// servicesText returns a services text in which the listed executors are the
// upstreams.
func servicesText(listed []member.Listing, slots int) string {
	var centres, members strings.Builder
	seen := make(map[unit.DataCentre]bool)
	for _, l := range listed {
		if l.Role != member.RoleExecutor {
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
