package journal

import (
	"fmt"
	"strings"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/unit"
)

// Workload is the size of a deployment and its rates of change.
type Workload struct {
	DataCentres     int
	Workers         int
	RunningTasks    int
	JobsPerDay      int
	ChangesPerDay   int
	Teams           int
	StartsPerSecond int // of tasks
}

// Target is the workload expected in two years.
var Target = Workload{
	DataCentres: 8, Workers: 1200, RunningTasks: 14_000, JobsPerDay: 5400, ChangesPerDay: 1500, Teams: 210, StartsPerSecond: 230,
}

// Scale returns w with every field except DataCentres divided by n, rounded
// down.
func (w Workload) Scale(n int) Workload {
	w.Workers, w.RunningTasks, w.JobsPerDay = w.Workers/n, w.RunningTasks/n, w.JobsPerDay/n
	w.ChangesPerDay, w.Teams, w.StartsPerSecond = w.ChangesPerDay/n, w.Teams/n, w.StartsPerSecond/n
	return w
}

// Attempt is the payload of a record about one attempt of a task. It has the
// fields that the records of starts and ends share. Records of ends leave Worker
// empty.
type Attempt struct {
	DataCentre unit.DataCentre `cbor:"1,keyasint"`
	Epoch      unit.Epoch      `cbor:"2,keyasint"`
	Job        unit.Job        `cbor:"3,keyasint"`
	Task       unit.Task       `cbor:"4,keyasint"`
	Attempt    unit.Attempt    `cbor:"5,keyasint"`
	Worker     unit.Worker     `cbor:"6,keyasint,omitempty"`
	At         clock.Span      `cbor:"7,keyasint"`
}

// dataCentreName returns the name of the i-th data centre.
func dataCentreName(i int) unit.DataCentre { return unit.DataCentre(fmt.Sprintf("centre-%d", i)) }

// attempt returns the n-th attempt of the workload.
func (w Workload) attempt(n int) Attempt {
	return Attempt{
		DataCentre: dataCentreName(n % w.DataCentres),
		Epoch:      7,
		Job:        unit.Job(fmt.Sprintf("growth-%06d", n/40)),
		Task:       unit.Task(fmt.Sprint(n % 40)),
		Attempt:    1,
		Worker:     unit.Worker(fmt.Sprintf("10.1.%d.%d:7100", n%w.Workers/250, n%250)),
		At:         clock.Span(n),
	}
}

// record returns the record of the start of the n-th attempt, or of its end if
// ended is true.
func (w Workload) record(o *record.IDSource, n int, ended bool) (record.Record, error) {
	a := w.attempt(n)
	if !ended {
		return record.Encode(o, record.Started, a)
	}
	a.Worker = ""
	return record.Encode(o, record.Finished, a)
}

// servicesText returns a services text with all teams, and one service and one
// kind per team. The number of the change is written in a comment, so that the
// texts differ.
func (w Workload) servicesText(change int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\n# change %d\ncapacity: {cpu: 20000000, memory: 80000000}\ndataCentres:\n", change)
	for i := range w.DataCentres {
		fmt.Fprintf(&b, "  - {name: %s, region: lowland}\n", dataCentreName(i))
	}
	b.WriteString("teams:\n")
	for i := range w.Teams {
		fmt.Fprintf(&b, "  - {name: team-%d, quota: {cpu: 64000, memory: 262144}, requestsPerSecond: 500, burst: 100}\n", i)
	}
	b.WriteString("upstreamSets:\n  - {name: weighbook, slots: 8}\nservices:\n")
	for i := range w.Teams {
		fmt.Fprintf(&b, "  - {name: lookup-%d, team: team-%d, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true}\n", i, i)
	}
	b.WriteString("kinds:\n")
	for i := range w.Teams {
		fmt.Fprintf(&b, "  - {name: growth-%d, team: team-%d, class: batch, resources: {cpu: 1000, memory: 2048}, expectedMs: 60000}\n", i, i)
	}
	return []byte(b.String())
}

// encodeSnapshots returns the records of the snapshots of all scopes at the
// given offset. The snapshots contain the configuration of r and all running
// tasks.
func (w Workload) encodeSnapshots(o *record.IDSource, r *config.Register, offset unit.Offset) ([]record.Record, error) {
	saved, err := r.Save()
	if err != nil {
		return nil, err
	}
	data, err := record.Marshal(saved)
	if err != nil {
		return nil, err
	}
	common := snapshot.Contents{Scope: snapshot.Common, At: offset, Sections: []snapshot.Section{{Name: "configuration", Data: data}}}
	out, err := snapshot.Encode(o, common, nil)
	for i := 0; i < w.DataCentres && err == nil; i++ {
		var tasks []Attempt
		for n := i; n < w.RunningTasks; n += w.DataCentres {
			tasks = append(tasks, w.attempt(n))
		}
		if data, err = record.Marshal(tasks); err != nil {
			return nil, err
		}
		c := snapshot.Contents{Scope: snapshot.ScopeOf(dataCentreName(i)), At: offset, Sections: []snapshot.Section{{Name: tasksSection, Data: data}}}
		var records []record.Record
		records, err = snapshot.Encode(o, c, []snapshot.Ref{{Scope: snapshot.Common, From: offset}})
		out = append(out, records...)
	}
	return out, err
}

// tasksSection is the name of the snapshot section with the running tasks.
const tasksSection = "tasks"
