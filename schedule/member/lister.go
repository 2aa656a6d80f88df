package member

import (
	"context"

	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=Role,State -linecomment -output=enums_string.go

// Role is the purpose of a listed host.
type Role int

// The roles of listed hosts. A host with RoleExecutor is an upstream of the entry
// processes. It is not identified by a [unit.Executor].
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
	Service    unit.Service    `json:"service,omitempty"` // name of the upstream set of the host; only for RoleExecutor
	Slots      unit.Slots      `json:"slots,omitempty"`   // only for RoleExecutor
	Capacity   unit.Resources  `json:"capacity,omitzero"` // only for RoleWorker
}

// Lister reads the platform's list of hosts.
type Lister interface {
	// List returns the current list of the platform. The list can lag behind
	// the actual state, and it can be empty although hosts are running.
	List(ctx context.Context) ([]Listing, error)
}
