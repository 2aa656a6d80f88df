package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"mimosadock/schedule/member"
)

var _ member.Lister = (*Hosts)(nil)

// listTimeout bounds one request for the list of hosts. A timeout counts as a
// failed request, after which the last received list remains in use.
const listTimeout = 2 * time.Second

// idleTimeout bounds how long an idle connection stays open.
const idleTimeout = 30 * time.Second

// maxListBytes bounds the size of a response.
const maxListBytes = 16 << 20

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
// errors have no verdict.
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
	var rows []member.Listing
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&rows); err != nil {
		return nil, fmt.Errorf("list of hosts: %w", err)
	}
	return rows, nil
}
