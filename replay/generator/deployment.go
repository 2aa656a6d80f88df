package generator

import (
	"fmt"

	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Sizes and delays that both deployments have in common.
const (
	upstreamSlots       unit.Slots    = 8
	upstreamConnections               = 60
	workerCPU           unit.MilliCPU = 16000
	workerMemory        unit.MiB      = 60 << 10
	clientDelay         trace.Micros  = 1000
)

// dataCentreLayout is the part of a deployment in one data centre.
type dataCentreLayout struct {
	name      unit.DataCentre
	entries   int
	upstreams int
	workers   int
}

// layout describes a deployment by the numbers of its hosts.
type layout struct {
	name            string
	networkByte     int // second byte of the IP addresses
	dataCentreDelay trace.Micros
	workersPerRack  int
	dataCentres     []dataCentreLayout
	services        []trace.Service
}

// martLayout returns the deployment tweedside, which is deployment 1 of the
// design page: 3 data centres, 7 entry hosts, 65 upstreams and 65 workers.
func martLayout() layout {
	return layout{
		name: "tweedside", networkByte: 1, dataCentreDelay: 500, workersPerRack: 10,
		dataCentres: []dataCentreLayout{{"kelso", 3, 25, 25}, {"hawick", 3, 25, 25}, {"selkirk", 1, 15, 15}},
		services: []trace.Service{
			{Name: "lookup", Class: service.Urgent, Deadline: 2 * clock.Second, Idempotent: true},
			{Name: "weigh", Class: service.Standard, Deadline: 4 * clock.Second},
			{Name: "growth", Class: service.Bulk, Deadline: 20 * clock.Second, Idempotent: true},
			{Name: "tags", Class: service.Long, Deadline: 2 * clock.Minute, Idempotent: true},
		},
	}
}

// tileLayout returns the deployment lampang, which is deployment 2 of the design
// page: 4 data centres, 7 entry hosts, 50 upstreams and 50 workers.
func tileLayout() layout {
	return layout{
		name: "lampang", networkByte: 2, dataCentreDelay: 1500, workersPerRack: 6,
		dataCentres: []dataCentreLayout{{"mueang", 2, 14, 14}, {"hangchat", 2, 14, 14}, {"maetha", 2, 12, 12}, {"kokha", 1, 10, 10}},
		services: []trace.Service{
			{Name: "glaze", Class: service.Urgent, Deadline: 2 * clock.Second, Idempotent: true},
			{Name: "order", Class: service.Standard, Deadline: 4 * clock.Second},
			{Name: "carving", Class: service.Bulk, Deadline: 20 * clock.Second, Idempotent: true},
			{Name: "watch", Class: service.Long, Deadline: 2 * clock.Minute, Idempotent: true},
		},
	}
}

func (l layout) deployment() trace.Deployment {
	d := trace.Deployment{Name: l.name, DataCentreDelay: l.dataCentreDelay, ClientDelay: clientDelay, Services: l.services}
	for i, s := range l.dataCentres {
		d.DataCentres = append(d.DataCentres, s.name)
		address := func(kind, n int) string { return fmt.Sprintf("10.%d.%d.%d", l.networkByte, i*4+kind, n+1) }
		for n := range s.entries {
			d.Entries = append(d.Entries, trace.Entry{Host: unit.Host(address(0, n)), DataCentre: s.name})
		}
		for n := range s.upstreams {
			d.Upstreams = append(d.Upstreams, trace.Upstream{
				Address: unit.Upstream(address(1, n) + ":80"), DataCentre: s.name,
				Slots: upstreamSlots, Connections: upstreamConnections,
			})
		}
		for n := range s.workers {
			d.Workers = append(d.Workers, trace.Worker{
				Address: unit.Worker(address(2, n) + ":90"), DataCentre: s.name,
				Rack:     unit.Rack(fmt.Sprintf("%s-%d", s.name, n/l.workersPerRack)),
				Capacity: unit.Resources{CPU: workerCPU, Memory: workerMemory},
			})
		}
	}
	return d
}
