package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http/httptest"

	"github.com/charmbracelet/log"

	"mimosadock/entry/process"
	"mimosadock/entry/setting"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/group"
	"mimosadock/schedule/member"
	"mimosadock/schedule/unit"
	"mimosadock/standin/hosts"
	"mimosadock/standin/journal"
	"mimosadock/standin/upstream"
	"mimosadock/standin/worker"
)

// operatorToken is the token of the operator of this run.
const operatorToken = "demo-operator"

// Sizes of the site. The services text repeats the slots per upstream.
const (
	processCount     = 3
	upstreamCount    = 4
	workerCount      = 2
	slotsPerUpstream = 8
)

// site has the simulated platform services and the entry processes that use
// them.
type site struct {
	journal    journal.Memory
	hosts      hosts.List
	simulation worker.Simulation
	upstreams  []*upstream.Server
	workers    []*worker.Worker
	servers    []*httptest.Server
	processes  []*process.Process
	group      *group.Group
}

// dataCentres has the names of the data centres of the site. The first has two
// entry processes and all workers, the second has one entry process. The
// upstreams are spread evenly.
var dataCentres = []unit.DataCentre{"kelso", "hawick"}

// openSite starts the simulated services and the entry processes. The returned
// site must be closed, also after an error.
func openSite(ctx context.Context) (*site, error) {
	s := &site{group: group.New(ctx)}
	s.simulation = worker.Simulation{Clock: clock.System{}, Profile: actualRun, CheckpointTime: 50 * clock.Millisecond}
	var list []member.Listing
	for i := range upstreamCount {
		u, err := upstream.Listen()
		if err != nil {
			return s, err
		}
		s.upstreams = append(s.upstreams, u)
		list = append(list, member.Listing{
			Address: u.Address(), DataCentre: dataCentres[i%2], Role: member.RoleExecutor, Service: "weighbook", Slots: slotsPerUpstream,
		})
	}
	for range workerCount {
		list = append(list, s.addWorker())
	}
	journalServer := httptest.NewServer(journal.Handler(&s.journal))
	hostServer := httptest.NewServer(hosts.Handler(&s.hosts))
	s.servers = append(s.servers, journalServer, hostServer)
	for i := range processCount {
		p, err := process.Open(setting.Settings{
			Listen: "127.0.0.1:0", Operator: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
			DataCentre: string(dataCentres[i/2]), LogLevel: "error", OperatorTokenHash: hashToken(operatorToken),
			Journal: journalServer.Listener.Addr().String(), HostList: hostServer.Listener.Addr().String(),
		}, log.New(io.Discard))
		if err != nil {
			return s, err
		}
		s.processes = append(s.processes, p)
		list = append(list, member.Listing{Address: p.PeerAddress(), DataCentre: dataCentres[i/2], Role: member.RoleEntry})
	}
	s.hosts.Set(list)
	for _, p := range s.processes {
		s.group.Go("entry", func(ctx context.Context) error { return p.Run(ctx, context.Background()) })
	}
	return s, nil
}

// addWorker starts a worker and returns its row for the list of hosts.
func (s *site) addWorker() member.Listing {
	capacity := unit.Resources{CPU: 4500, Memory: 4096}
	srv := httptest.NewUnstartedServer(nil)
	address := srv.Listener.Addr().String()
	w := worker.New(&s.simulation, unit.Worker(address), capacity)
	s.workers = append(s.workers, w)
	srv.Config.Handler = (&worker.Server{Worker: w}).Handler()
	srv.Start()
	s.servers = append(s.servers, srv)
	return member.Listing{Address: address, DataCentre: dataCentres[0], Role: member.RoleWorker, Capacity: capacity}
}

// close stops the entry processes and then the simulated services.
func (s *site) close() error {
	s.group.Stop()
	err := s.group.Wait()
	for _, srv := range s.servers {
		srv.CloseClientConnections()
		srv.Close()
	}
	for _, u := range s.upstreams {
		err = errors.Join(err, u.Close())
	}
	return err
}

// actualRun returns the actual resource usage and run time of a task of the
// given kind. The scheduler only has the declared values.
func actualRun(_ unit.Task, kind unit.Kind) worker.TaskProfile {
	switch kind {
	case "report":
		return worker.TaskProfile{Usage: unit.Resources{CPU: 1900, Memory: 1900}, RunTime: 8 * clock.Second}
	case "ring":
		return worker.TaskProfile{Usage: unit.Resources{CPU: 900, Memory: 1400}, RunTime: 2 * clock.Second}
	default: // the feed has no end and runs until it is stopped
		return worker.TaskProfile{Usage: unit.Resources{CPU: 100, Memory: 50}}
	}
}

// hashToken returns the SHA-256 hash of the token in hexadecimal.
func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// servicesText is the services text of the site.
const servicesText = `version: 1
capacity: {cpu: 9000, memory: 8192}
dataCentres:
  - {name: kelso, region: lowland}
  - {name: hawick, region: lowland}
teams:
  - {name: marts, quota: {cpu: 4500, memory: 4096}}
  - {name: farms, quota: {cpu: 4500, memory: 4096}}
upstreamSets:
  - {name: weighbook, slots: 8}
services:
  - {name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true}
  - {name: order, team: marts, class: standard, upstreamSet: weighbook, deadlineMs: 4000}
  - {name: watch, team: farms, class: long, upstreamSet: weighbook, deadlineMs: 60000}
kinds:
  - {name: ring, team: marts, class: latencyCritical, resources: {cpu: 1000, memory: 1500}, expectedMs: 2000}
  - {name: report, team: farms, class: batch, resources: {cpu: 2000, memory: 2000}, expectedMs: 8000, checkpointMs: 500}
  - {name: feed, team: farms, class: standing, resources: {cpu: 200, memory: 60}}
`
