package platform

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
)

var _ member.Lister = (*Hosts)(nil)

// listTimeout bounds one request for the list of hosts. A timeout counts as a
// failed request, after which the last received list remains in use.
const listTimeout = 2 * time.Second

// idleTimeout bounds how long an idle connection stays open.
const idleTimeout = 30 * time.Second

// maxListBytes bounds the size of a response.
const maxListBytes = 16 << 20

// Bounds of the values of a row. They are far above those of any host, and low
// enough that sums over all hosts don't overflow.
const (
	maxSlots        unit.Slots        = 1 << 20
	maxCPU          unit.MilliCPU     = 10_000_000 // 10,000 cores
	maxMemory       unit.MiB          = 1 << 30    // 1 PiB
	maxAccelerators unit.Accelerators = 10_000
)

// oddRows counts the rows that were left out, at each read of the list.
var oddRows = expvar.NewInt("process.hostListOddRows")

// Hosts is a client of the platform's list of hosts over HTTP. Use [NewHosts].
type Hosts struct {
	url    string
	client http.Client
}

// NewHosts returns a client of the list of hosts at an address "ip:port".
func NewHosts(address string) *Hosts {
	u := url.URL{Scheme: "http", Host: address, Path: "/hosts"}
	return &Hosts{url: u.String(), client: http.Client{Timeout: listTimeout, Transport: &http.Transport{IdleConnTimeout: idleTimeout}}}
}

// List returns the platform's current list. The request is idempotent, so its
// errors have no verdict. A row that names no host to use is counted and left
// out: one such row must not keep the others from being followed.
func (h *Hosts) List(ctx context.Context) ([]member.Listing, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("list of hosts: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list of hosts: status %d", resp.StatusCode)
	}
	var rows []json.RawMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&rows); err != nil {
		return nil, fmt.Errorf("list of hosts: %w", err)
	}
	list := make([]member.Listing, 0, len(rows))
	for _, row := range rows {
		var l member.Listing
		if json.Unmarshal(row, &l) != nil || !isValid(&l) {
			oddRows.Add(1)
			continue
		}
		list = append(list, l)
	}
	return list, nil
}

// isValid reports whether a row names a host that can be used.
func isValid(l *member.Listing) bool {
	a, err := netip.ParseAddrPort(l.Address)
	switch {
	case err != nil || a.Port() == 0:
		return false
	case l.Role < member.RoleEntry || l.Role > member.RoleWorker:
		return false
	case l.State < member.StateLive || l.State > member.StateLeaving:
		return false
	case l.Slots < 0 || l.Slots > maxSlots:
		return false
	}
	c := l.Capacity
	return c.CPU >= 0 && c.CPU <= maxCPU && c.Memory >= 0 && c.Memory <= maxMemory && c.Accelerators >= 0 && c.Accelerators <= maxAccelerators
}
