package rig3

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mimosadock/standin/fleet"
)

// configText is the operator's configuration: one queue on one service.
const configText = `{"version":7,"routes":[{"name":"r-3hwrr6x","host":%q,"path_prefix":%q,"type":"unsafe","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":%q,"max_attempts":3,"slack_factor":1.5}],"services":[{"name":%q,"health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record    *record
	dir       string
	store     *fleet.Store
	jobs      *jobTable
	executors []*executor
	machines  *machines // nil if there is no API of machines
	processes []*process
	spares    []*process // not started; their addresses come first
	requester *requester
}

// deploymentSize says how large a deployment is.
type deploymentSize struct {
	processes int
	executors int
	cpu       int // of an executor, in thousandths of a core
	maxHold   time.Duration
	tail      func(task string) int64
	spares    int  // processes that are not started
	machines  bool // there is an API of machines
}

// openDeployment starts the platform's stand-ins, then the processes, and waits until
// they serve.
func openDeployment(root string, r *record, size deploymentSize) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, store: fleet.NewStore(), jobs: new(jobTable)}
	d.store.Put("keyed.op", "config", fmt.Appendf(nil, configText, routeHost, routePrefix, service, service))
	newExecutor := func(id string) (*executor, error) {
		x := &executor{id: id, cpu: size.cpu, mem: 4 * size.cpu, maxHold: size.maxHold, store: d.store, jobs: d.jobs, record: r, tail: size.tail}
		return x, x.open()
	}
	api := ""
	if size.machines {
		if d.machines, err = newMachines(size.executors, r, newExecutor); err != nil {
			return d, err
		}
		api = d.machines.address()
	} else {
		for n := range size.executors {
			x, err := newExecutor(fmt.Sprintf("i-%08x", n+1))
			if err != nil {
				return d, err
			}
			d.executors = append(d.executors, x)
		}
	}
	hosts, err := reserveHosts(size.processes + size.spares)
	if err != nil {
		return d, err
	}
	for n, host := range hosts {
		p, err := newProcess(fmt.Sprintf("edge-kelso-%d", n+1), host, root, dir, d.store.Address(), api, size.maxHold, r)
		if err != nil {
			return d, err
		}
		if n < size.spares {
			d.spares = append(d.spares, p)
			continue
		}
		d.processes = append(d.processes, p)
		p.start()
	}
	d.requester = newRequester(d.processes, r, d.jobs)
	return d, d.awaitService()
}

// reserveHosts reserves loopback addresses, in the order of their text.
func reserveHosts(n int) ([]*fleet.Loopback, error) {
	var hosts []*fleet.Loopback
	for range n {
		host, err := fleet.ReserveLoopback()
		if err != nil {
			return hosts, err
		}
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b *fleet.Loopback) int { return cmp.Compare(a.IP(), b.IP()) })
	return hosts, nil
}

// awaitService waits until all processes answer a request for a submission that
// does not exist, and an ordinary one is done.
func (d *deployment) awaitService() error {
	id, s := jobID(0), &submission{Spec: "first", Steps: []step{{Count: 1, CPU: 100, Memory: 10, EstimatedMs: 100, work: 100 * time.Millisecond}}}
	until := time.Now().Add(20 * time.Second)
	for time.Now().Before(until) {
		if !d.requester.submit(id, s, 1) {
			continue
		}
		served := 0
		for range d.processes {
			if state, ok := d.requester.state(id, 1); ok && state == "completed" {
				served++
			}
		}
		if served == len(d.processes) {
			d.record.add("all processes serve")
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("the deployment does not serve within 20 s")
}

// close ends all that was started.
func (d *deployment) close() {
	for _, p := range slices.Concat(d.processes, d.spares) {
		if p.done != nil {
			p.kill()
		}
	}
	for _, p := range slices.Concat(d.processes, d.spares) {
		if p.done != nil {
			p.await()
		}
	}
	if d.machines != nil {
		d.machines.close()
	}
	for _, x := range d.executors {
		x.end(true)
	}
	d.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir) // a temporary folder
	} else {
		fmt.Println(filepath.Clean(d.dir))
	}
}

// putWave writes the operator's request for a wave, over all machines if none is named.
func (d *deployment) putWave(number, seconds, maximum int, ids ...string) {
	if len(ids) == 0 {
		d.machines.each(func(m *machine) { ids = append(ids, m.id) })
	}
	b, _ := json.Marshal(map[string]any{"wave": number, "machines": ids, "duration_s": seconds, "maximum": maximum}) // cannot fail
	d.store.Put("keyed.op", fmt.Sprintf("wave/%d", number), b)
	d.record.add("operator requests wave %d: %s", number, b)
}

// waveCompleted reports whether the system says that a wave is completed.
func (d *deployment) waveCompleted(number int) bool {
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(d.store.Get("keyed.status", fmt.Sprintf("wave/%d", number)), &b) // no status at first
	return b.State == "completed"
}
