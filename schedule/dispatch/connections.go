package dispatch

import (
	"errors"

	"mimosadock/schedule/unit"
)

// ErrNoConnection reports that an order was not sent, since all connections of the
// owner to the executor were in use for as long as it could wait. It says nothing
// about the executor.
var ErrNoConnection = errors.New("all connections to the executor are in use")

const (
	// DefaultMaxConnections is the number of connections that an executor accepts
	// if the configuration does not say otherwise.
	DefaultMaxConnections = 64
	// lostOwners is the number of owners in succession whose hosts may lose power
	// while an executor runs. The executor keeps the connections of a host without
	// power, which sends no packets that close them.
	lostOwners = 24
	// presentOwners is the number of processes that may use an executor at a time:
	// the owners of its home shard and of a borrower.
	presentOwners = 2
	// MinConnections is the smallest number of connections of an owner to an
	// executor: one for holds and one for other orders.
	MinConnections = 2
	// maxConnections bounds the file descriptors of a process. Orders take a few
	// milliseconds, so that more connections do not speed them up.
	maxConnections = 8
)

// connectionsPerOwner returns the number of connections that an owner may open to
// an executor that accepts accepted connections in all. If up to lostOwners owners
// in succession lose power, the executor still accepts the connections of the
// present ones.
func connectionsPerOwner(accepted int) int {
	return min(max(accepted/(lostOwners+presentOwners), MinConnections), maxConnections)
}

// CoveredLostOwners returns how many owners in succession may lose power before an
// executor that accepts accepted connections in all refuses those of the present
// owners.
func CoveredLostOwners(accepted int) int {
	return accepted/connectionsPerOwner(accepted) - presentOwners
}

// limitConnections sets the number of connections that the owner may open to the
// executors of orders.
func (s *Shard) limitConnections(orders []Order) {
	for i := range orders {
		if e := s.executors.Get(orders[i].To.Executor); e != nil {
			orders[i].To.Connections = s.config.connectionsTo(e.Service)
		}
	}
}

// AddAddresses adds the addresses of the executors in use to a set.
func (s *Shard) AddAddresses(addresses map[string]bool) {
	for _, e := range s.executors.All() {
		if e.Address != "" {
			addresses[e.Address] = true
		}
	}
}

// connectionsTo returns the number of connections that an owner may open to an
// executor of a service.
func (c *Config) connectionsTo(service unit.Service) int {
	if c != nil {
		for i := range c.Services {
			if c.Services[i].Name == service {
				return connectionsPerOwner(c.Services[i].MaxConnections)
			}
		}
	}
	return connectionsPerOwner(DefaultMaxConnections)
}
