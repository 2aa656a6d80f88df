package work

import (
	"context"
	"fmt"
	"strings"

	"mimosadock/replay/trace"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/member"
	"mimosadock/schedule/placement"
	"mimosadock/schedule/service"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/work"
)

// Decided drives the board of package work, one for each data centre, with the
// given policies.
type Decided struct {
	Policies placement.Policies

	world  *World
	boards table.Table[unit.DataCentre, *boardRow]
}

// boardRow is the board of one data centre with what is under way.
type boardRow struct {
	work.Board
	answers []work.Answer
	records []job.Record
}

// Open returns the scheme for a world.
func (s Decided) Open(w *World) Scheme {
	s.world = w
	text, err := textOf(w)
	if err != nil {
		panic("work: services text of a trace has faults")
	}
	d := &w.header.Deployment
	listing := make([]member.Listing, 0, len(d.Workers))
	for _, k := range d.Workers {
		listing = append(listing, member.Listing{
			Address: string(k.Address), Host: unit.Host(k.Address), DataCentre: k.DataCentre, Rack: k.Rack,
			Role: member.Worker, Capacity: k.Capacity,
		})
	}
	for _, dc := range d.DataCentres {
		b := &boardRow{Board: work.Board{Home: dc, Policies: s.Policies}}
		b.SetText(text)
		b.SetWorkers(listing)
		s.boards.Put(dc, b)
	}
	return &s
}

// Submit offers a job to the board of its home.
func (s *Decided) Submit(now clock.Millis, j *trace.Job) bool {
	b := *s.boards.Get(j.DataCentre)
	b.SetRight(now, right())
	_, err := b.Submit(now, job.Spec{
		ID: j.ID, Team: j.Team, Kind: kindOf(j), Tasks: j.Tasks, Size: j.Declared, Expected: j.DeclaredRun,
	})
	return err == nil
}

// Cancel cancels a job.
func (s *Decided) Cancel(now clock.Millis, id unit.Job) {
	if j := s.world.jobs.Get(id); j != nil {
		_, _ = (*s.boards.Get((*j).DataCentre)).Cancel(now, id)
	}
}

// Find tells what the board of a task's home knows of it.
func (s *Decided) Find(id unit.Task) Finding {
	b := *s.boards.Get(s.world.tasks.Get(id).job.DataCentre)
	k := b.Jobs.Tasks.Get(id)
	switch {
	case k == nil:
		return Lost
	case k.State == job.StateFinished:
		return Done
	case k.State == job.StateFailed || b.Jobs.Jobs.Get(k.Job).State == job.StateFailed:
		return Failed
	default:
		return Held
	}
}

// right is that of an owner which never loses its tenure.
func right() work.Right {
	return work.Right{Owner: true, Epoch: 1, Quick: clock.Never, Slow: clock.Never, Sole: -clock.Millis(clock.Hour)}
}

// Tick runs the boards. Answers of workers and of the journal arrive a tick
// after they were asked for.
func (s *Decided) Tick(now clock.Millis) {
	for _, row := range s.boards.All() {
		b := *row
		for _, a := range b.answers {
			b.HandleAnswer(now, a)
		}
		b.answers = b.answers[:0]
		if !s.world.down {
			for _, r := range b.records {
				b.HandleWritten(now, r, verdict.Ran)
			}
			b.records = b.records[:0]
		}
		b.SetRight(now, right())
		b.Board.Tick(now)
		b.records = b.Records(b.records)
		for _, batch := range b.Batches(now, nil) {
			b.answers = append(b.answers, s.send(batch))
		}
	}
}

// send carries out a batch at a worker.
func (s *Decided) send(batch work.Batch) work.Answer {
	a := work.Answer{Batch: batch}
	for _, c := range batch.Commands {
		report, err := work.Do(context.Background(), s.world, batch, c)
		a.Errs = append(a.Errs, err)
		if report != nil {
			a.Report = report
		}
	}
	return a
}

// kindOf returns the kind of a job in the services text. A kind belongs to one
// team there, and is safe to run twice or not.
func kindOf(j *trace.Job) unit.Kind {
	kind := string(j.Kind) + "-" + string(j.Team)
	if j.SafeToRepeat {
		kind += "-twice"
	}
	return unit.Kind(kind)
}

// textOf returns a services text with the teams and kinds of the trace. Each
// team has an equal quota.
func textOf(w *World) (*service.Text, error) {
	var teams []unit.Team
	var kinds []unit.Kind
	seen := make(map[unit.Kind]*trace.Job)
	owned := make(map[unit.Team]bool)
	for i := range w.events {
		j := w.events[i].Job
		if j == nil {
			continue
		}
		if !owned[j.Team] {
			owned[j.Team] = true
			teams = append(teams, j.Team)
		}
		if k := kindOf(j); seen[k] == nil {
			seen[k] = j
			kinds = append(kinds, k)
		}
	}
	var total unit.Resources
	for _, k := range w.header.Deployment.Workers {
		total = total.Add(k.Capacity)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\ncapacity: {cpu: %d, memory: %d}\ndataCentres:\n", total.CPU, total.Memory)
	for _, dc := range w.header.Deployment.DataCentres {
		fmt.Fprintf(&b, "  - {name: %s, region: home}\n", dc)
	}
	b.WriteString("teams:\n")
	for _, t := range teams {
		n := int64(len(teams))
		fmt.Fprintf(&b, "  - {name: %s, quota: {cpu: %d, memory: %d}}\n", t, int64(total.CPU)/n, int64(total.Memory)/n)
	}
	b.WriteString("kinds:\n")
	for _, k := range kinds {
		j := seen[k]
		fmt.Fprintf(&b, "  - {name: %s, team: %s, class: %s, resources: {cpu: %d, memory: %d}, expectedMs: %d, checkpointMs: %d, safeTwice: %t}\n",
			k, j.Team, j.Class, j.Declared.CPU, j.Declared.Memory, j.DeclaredRun, j.Checkpoint, j.SafeToRepeat)
	}
	return service.Parse([]byte(b.String()))
}
