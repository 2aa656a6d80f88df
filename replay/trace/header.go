package trace

import (
	"fmt"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Format and Version identify the format of a trace.
const (
	Format  = "mimosadock-trace"
	Version = 1
)

// Micros is a duration in microseconds. Network delays are shorter than a
// millisecond, the resolution of the scheduler's clock.
type Micros int64

// MicrosOf converts s to microseconds.
func MicrosOf(s clock.Span) Micros { return Micros(s) * 1000 }

// Header is the first line of a trace.
type Header struct {
	Format     string     `json:"format"`
	Version    int        `json:"version"`
	Name       string     `json:"name"`
	Origin     string     `json:"origin"` // how the trace was made
	Seed       uint64     `json:"seed"`
	Length     clock.Span `json:"lengthMs"`
	PeakFrom   clock.Span `json:"peakFromMs,omitempty"` // relative to the start; both 0 without a peak
	PeakTo     clock.Span `json:"peakToMs,omitempty"`
	Deployment Deployment `json:"deployment"`
}

// Deployment describes the hosts, services and network delays of a trace.
type Deployment struct {
	Name            string            `json:"name"`
	DataCentres     []unit.DataCentre `json:"dataCentres"`
	DataCentreDelay Micros            `json:"betweenDataCentresMicros"` // one way
	ClientDelay     Micros            `json:"clientMicros"`             // one way
	Entries         []Entry           `json:"entries"`
	Upstreams       []Upstream        `json:"upstreams"`
	Workers         []Worker          `json:"workers"`
	Services        []Service         `json:"services"`
}

// Entry is one entry host with its data centre.
type Entry struct {
	Host       unit.Host       `json:"host"`
	DataCentre unit.DataCentre `json:"dataCentre"`
}

// Upstream is one upstream with its numbers of slots and connections.
type Upstream struct {
	Address     unit.Upstream   `json:"address"`
	DataCentre  unit.DataCentre `json:"dataCentre"`
	Slots       unit.Slots      `json:"slots"`
	Connections int             `json:"connections"`
}

// Worker is one worker with its location and capacity.
type Worker struct {
	Address    unit.Worker     `json:"address"`
	DataCentre unit.DataCentre `json:"dataCentre"`
	Rack       unit.Rack       `json:"rack"`
	Capacity   unit.Resources  `json:"capacity"`
}

// Service is one service that the requests of a trace use.
type Service struct {
	Name       unit.Service  `json:"name"`
	Class      service.Class `json:"class"`
	Deadline   clock.Span    `json:"deadlineMs"`
	Idempotent bool          `json:"idempotent,omitempty"`
}

// ServiceOf returns the service of the given name, or nil if there is none.
func (d *Deployment) ServiceOf(name unit.Service) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// InPeak reports whether at is within the peak of the trace.
func (h *Header) InPeak(at clock.Millis) bool {
	return at >= clock.Millis(h.PeakFrom) && at < clock.Millis(h.PeakTo)
}

func (h *Header) check() error {
	if h.Format != Format || h.Version != Version {
		return fmt.Errorf("trace: format %q version %d, want %q version %d", h.Format, h.Version, Format, Version)
	}
	if h.Length <= 0 || len(h.Deployment.Entries) == 0 {
		return fmt.Errorf("trace: %s has no length or no entry hosts", h.Name)
	}
	return nil
}
