package service

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Version is the version of the text format that this package reads.
const Version = 1

// Text is a checked services text. Goroutines share a Text and all values in it
// and must not modify them.
type Text struct {
	Version      int            `yaml:"version" json:"version"`
	Capacity     unit.Resources `yaml:"capacity" json:"capacity"` // maximum for the sum of all quotas
	DataCentres  []DataCentre   `yaml:"dataCentres" json:"dataCentres"`
	Teams        []Team         `yaml:"teams" json:"teams"`
	UpstreamSets []UpstreamSet  `yaml:"upstreamSets" json:"upstreamSets"`
	Services     []Service      `yaml:"services" json:"services"`
	Kinds        []Kind         `yaml:"kinds" json:"kinds"`
	Operators    []TokenHash    `yaml:"operators" json:"-"`
	index        textIndex
}

// TokenHash is the SHA-256 of a bearer token in lower-case hexadecimal.
type TokenHash string

// DataCentre describes a data centre. Lost declares that nothing runs in it any
// more, so that a process of another data centre can become its owner at once.
type DataCentre struct {
	Name   unit.DataCentre `yaml:"name" json:"name"`
	Region unit.Region     `yaml:"region" json:"region"`
	Lost   bool            `yaml:"lost" json:"lost,omitempty"`
}

// Team is a team that uses the platform. A limit of zero means no limit.
type Team struct {
	Name              unit.Team      `yaml:"name" json:"name"`
	Quota             unit.Resources `yaml:"quota" json:"quota"`
	RequestsPerSecond float64        `yaml:"requestsPerSecond" json:"requestsPerSecond,omitempty"`
	Burst             int            `yaml:"burst" json:"burst,omitempty"`                       // requests at once
	Concurrent        int            `yaml:"concurrent" json:"concurrent,omitempty"`             // requests in flight
	CallerPerSecond   float64        `yaml:"callerPerSecond" json:"callerPerSecond,omitempty"`   // requests per second of each caller
	CallerConcurrent  int            `yaml:"callerConcurrent" json:"callerConcurrent,omitempty"` // requests in flight of each caller
	Tokens            []TokenHash    `yaml:"tokens" json:"-"`
}

// UpstreamSet is a set of upstreams that serve the same services. Its members are
// the upstreams under its name in the platform's list of hosts and the fixed
// ones in Members.
type UpstreamSet struct {
	Name    string     `yaml:"name" json:"name"`
	Slots   unit.Slots `yaml:"slots" json:"slots"` // of each upstream
	Members []Member   `yaml:"members" json:"members,omitempty"`
}

// Member is an upstream that belongs to an upstream set.
type Member struct {
	Address    unit.Upstream   `yaml:"address" json:"address"`
	DataCentre unit.DataCentre `yaml:"dataCentre" json:"dataCentre"`
}

// Service is a service that callers send requests to. An upstream set serves it.
type Service struct {
	Name        unit.Service `yaml:"name" json:"name"`
	Team        unit.Team    `yaml:"team" json:"team"`
	Class       Class        `yaml:"class" json:"class"`
	UpstreamSet string       `yaml:"upstreamSet" json:"upstreamSet"`
	DeadlineMs  clock.Span   `yaml:"deadlineMs" json:"deadlineMs"` // default and maximum for a request
	Idempotent  bool         `yaml:"idempotent" json:"idempotent"`
	Hedge       bool         `yaml:"hedge" json:"hedge,omitempty"`         // only for idempotent services
	DependsOn   []string     `yaml:"dependsOn" json:"dependsOn,omitempty"` // services and kinds; used only to check the text for unknown names and cycles
}

// Kind is a kind of work that runs as tasks on workers.
type Kind struct {
	Name         unit.Kind      `yaml:"name" json:"name"`
	Team         unit.Team      `yaml:"team" json:"team"`
	Class        WorkClass      `yaml:"class" json:"class"`
	Resources    unit.Resources `yaml:"resources" json:"resources"` // declared for one task
	ExpectedMs   clock.Span     `yaml:"expectedMs" json:"expectedMs,omitempty"`
	CheckpointMs clock.Span     `yaml:"checkpointMs" json:"checkpointMs,omitempty"` // interval between checkpoints; zero means no checkpoints
	SafeTwice    bool           `yaml:"safeTwice" json:"safeTwice,omitempty"`       // two attempts of a task may run at once
	DependsOn    []string       `yaml:"dependsOn" json:"dependsOn,omitempty"`       // services and kinds; no task is placed while one of them is down
}

// textIndex maps the names in a text to positions in its lists.
type textIndex struct {
	services     map[unit.Service]int
	kinds        map[unit.Kind]int
	teams        map[unit.Team]int
	upstreamSets map[string]int
	dataCentres  map[unit.DataCentre]int
}

func (t *Text) buildIndex() {
	t.index = textIndex{
		services:     indexOf(t.Services, func(s Service) unit.Service { return s.Name }),
		kinds:        indexOf(t.Kinds, func(k Kind) unit.Kind { return k.Name }),
		teams:        indexOf(t.Teams, func(m Team) unit.Team { return m.Name }),
		upstreamSets: indexOf(t.UpstreamSets, func(s UpstreamSet) string { return s.Name }),
		dataCentres:  indexOf(t.DataCentres, func(d DataCentre) unit.DataCentre { return d.Name }),
	}
}

// indexOf returns the positions of rows by key.
func indexOf[K comparable, V any](rows []V, key func(V) K) map[K]int {
	m := make(map[K]int, len(rows))
	for i, r := range rows {
		m[key(r)] = i
	}
	return m
}

// lookup returns the row with the key k, or nil.
func lookup[K comparable, V any](rows []V, index map[K]int, k K) *V {
	i, ok := index[k]
	if !ok {
		return nil
	}
	return &rows[i]
}

// Service returns the service with the given name, or nil.
func (t *Text) Service(name unit.Service) *Service {
	return lookup(t.Services, t.index.services, name)
}

// Kind returns the kind with the given name, or nil.
func (t *Text) Kind(name unit.Kind) *Kind { return lookup(t.Kinds, t.index.kinds, name) }

// Team returns the team with the given name, or nil.
func (t *Text) Team(name unit.Team) *Team { return lookup(t.Teams, t.index.teams, name) }

// UpstreamSet returns the upstream set with the given name, or nil.
func (t *Text) UpstreamSet(name string) *UpstreamSet {
	return lookup(t.UpstreamSets, t.index.upstreamSets, name)
}

// DataCentre returns the data centre with the given name, or nil.
func (t *Text) DataCentre(name unit.DataCentre) *DataCentre {
	return lookup(t.DataCentres, t.index.dataCentres, name)
}
