package member

import (
	"context"

	"mimosadock/schedule/unit"
)

//go:generate go tool stringer -type=Role,State -linecomment -output=enums_string.go

// Role is what a listed host is for.
type Role int

// The roles of listed hosts.
const (
	Entry    Role = iota // entry
	Executor             // executor
	Worker               // worker
)

// State is the state that the platform lists for a host.
type State int

// The states of listed hosts.
const (
	Live    State = iota // live
	Leaving              // leaving
)

// Listing is one line of the platform's list of hosts.
type Listing struct {
	Address    string          `json:"address"` // "ip:port"
	Host       unit.Host       `json:"host"`
	DataCentre unit.DataCentre `json:"dataCentre"`
	Rack       unit.Rack       `json:"rack"`
	Role       Role            `json:"role"`
	State      State           `json:"state"`
	Service    unit.Service    `json:"service,omitempty"` // of an executor
	Slots      unit.Slots      `json:"slots,omitempty"`   // of an executor
	Capacity   unit.Resources  `json:"capacity,omitzero"` // of a worker
}

// Lister reads the platform's list of hosts.
type Lister interface {
	// List returns the list as the platform has it now. It can lag behind
	// and may be empty without a host having gone.
	List(ctx context.Context) ([]Listing, error)
}
