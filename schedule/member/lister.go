package member

import (
	"context"

	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=Role,State -linecomment -output=enums_string.go

// Role is the purpose of a listed host.
type Role int

// The roles of listed hosts.
const (
	RoleEntry    Role = iota // entry
	RoleExecutor             // executor
	RoleWorker               // worker
)

// State is the state of a host in the platform's list.
type State int

// The states of listed hosts.
const (
	StateLive    State = iota // live
	StateLeaving              // leaving
)

// Listing is one line of the platform's list of hosts.
type Listing struct {
	Address    string          `json:"address"` // "ip:port"
	Host       unit.Host       `json:"host"`
	DataCentre unit.DataCentre `json:"dataCentre"`
	Rack       unit.Rack       `json:"rack"`
	Role       Role            `json:"role"`
	State      State           `json:"state"`
	Service    unit.Service    `json:"service,omitempty"` // only for an executor
	Slots      unit.Slots      `json:"slots,omitempty"`   // only for an executor
	Capacity   unit.Resources  `json:"capacity,omitzero"` // only for a worker
}

// Lister reads the platform's list of hosts.
type Lister interface {
	// List returns the current list of the platform. The list can lag behind
	// the actual state, and it can be empty although hosts are running.
	List(ctx context.Context) ([]Listing, error)
}
