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

// BoardScheme runs the scheduler's decision code with the given policies. Each
// data centre has a [work.Board], which holds its jobs, tasks and workers.
type BoardScheme struct {
	Policies placement.Policies

	sim    *Simulation
	boards table.Table[unit.DataCentre, *boardRow]
}

// boardRow is the board of one data centre.
type boardRow struct {
	work.Board
	answers []work.CommandBatchResult // of workers, delivered on the next tick
	records []job.Record              // waiting for the journal
}

// Open returns a copy of the scheme for a simulation, with one board for each
// data centre of the trace.
func (s BoardScheme) Open(sim *Simulation) Scheme {
	s.sim = sim
	text, err := servicesText(sim)
	if err != nil {
		panic("work: the services text for the trace is invalid")
	}
	d := &sim.header.Deployment
	listing := make([]member.Listing, 0, len(d.Workers))
	for _, k := range d.Workers {
		listing = append(listing, member.Listing{
			Address: string(k.Address), Host: unit.Host(k.Address), DataCentre: k.DataCentre, Rack: k.Rack,
			Role: member.RoleWorker, Capacity: k.Capacity,
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

// Submit submits a job to the board of its data centre.
func (s *BoardScheme) Submit(now clock.Millis, j *trace.Job) bool {
	b := *s.boards.Get(j.DataCentre)
	b.SetAuthority(now, permanentAuthority())
	_, err := b.Submit(now, job.Spec{
		ID: j.ID, Team: j.Team, Kind: kindOf(j), Tasks: j.Tasks, Size: j.Declared, ExpectedRunTime: j.DeclaredRunTime,
	})
	return err == nil
}

// Cancel cancels a job on the board of its data centre.
func (s *BoardScheme) Cancel(now clock.Millis, id unit.Job) {
	if j := s.sim.jobs.Get(id); j != nil {
		_, _ = (*s.boards.Get((*j).DataCentre)).Cancel(now, id)
	}
}

// StatusOf returns the status of a task on the board of its data centre.
func (s *BoardScheme) StatusOf(id unit.Task) TaskStatus {
	b := *s.boards.Get(s.sim.tasks.Get(id).job.DataCentre)
	k := b.Jobs.Tasks.Get(id)
	switch {
	case k == nil:
		return StatusUnknown
	case k.State == job.StateFinished:
		return StatusFinished
	case k.State == job.StateFailed || b.Jobs.Jobs.Get(k.Job).State == job.StateFailed:
		return StatusFailed
	default:
		return StatusActive
	}
}

// permanentAuthority returns the authority of an owner that never loses its
// tenure.
func permanentAuthority() work.Authority {
	return work.Authority{IsOwner: true, Epoch: 1, AcceptUntil: clock.Never, RunUntil: clock.Never, FormerOwnersEndAt: -clock.Millis(clock.Hour)}
}

// Tick runs the boards. Answers from workers and from the journal arrive one
// tick after the request. Records wait while the journal is down.
func (s *BoardScheme) Tick(now clock.Millis) {
	for _, row := range s.boards.All() {
		b := *row
		for _, a := range b.answers {
			b.HandleCommandBatchResult(now, a)
		}
		b.answers = b.answers[:0]
		if !s.sim.journalDown {
			for _, r := range b.records {
				b.HandleWriteResult(now, r, verdict.Ran)
			}
			b.records = b.records[:0]
		}
		b.SetAuthority(now, permanentAuthority())
		b.Board.Tick(now)
		b.records = b.TakeRecords(b.records)
		for _, batch := range b.DueCommandBatches(now, nil) {
			b.answers = append(b.answers, s.send(batch))
		}
	}
}

// send executes the commands of a batch at a worker.
func (s *BoardScheme) send(batch work.CommandBatch) work.CommandBatchResult {
	a := work.CommandBatchResult{Batch: batch}
	for _, c := range batch.Commands {
		report, err := work.Execute(context.Background(), s.sim, batch, c)
		a.Errs = append(a.Errs, err)
		if report != nil {
			a.Report = report
		}
	}
	return a
}

// kindOf returns the kind of a job in the services text. A kind there belongs to
// one team and is either safe to run twice or not, so the name of the kind
// includes both.
func kindOf(j *trace.Job) unit.Kind {
	kind := string(j.Kind) + "-" + string(j.Team)
	if j.SafeToRepeat {
		kind += "-twice"
	}
	return unit.Kind(kind)
}

// servicesText returns the parsed services text with the teams and kinds of the
// trace. All teams have the same quota.
func servicesText(sim *Simulation) (*service.Text, error) {
	var teams []unit.Team
	var kinds []unit.Kind
	firstJobs := make(map[unit.Kind]*trace.Job)
	knownTeams := make(map[unit.Team]bool)
	for i := range sim.events {
		j := sim.events[i].Job
		if j == nil {
			continue
		}
		if !knownTeams[j.Team] {
			knownTeams[j.Team] = true
			teams = append(teams, j.Team)
		}
		if k := kindOf(j); firstJobs[k] == nil {
			firstJobs[k] = j
			kinds = append(kinds, k)
		}
	}
	var total unit.Resources
	for _, k := range sim.header.Deployment.Workers {
		total = total.Add(k.Capacity)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\ncapacity: {cpu: %d, memory: %d}\ndataCentres:\n", total.CPU, total.Memory)
	for _, dc := range sim.header.Deployment.DataCentres {
		fmt.Fprintf(&b, "  - {name: %s, region: home}\n", dc)
	}
	b.WriteString("teams:\n")
	for _, t := range teams {
		n := int64(len(teams))
		fmt.Fprintf(&b, "  - {name: %s, quota: {cpu: %d, memory: %d}}\n", t, int64(total.CPU)/n, int64(total.Memory)/n)
	}
	b.WriteString("kinds:\n")
	for _, k := range kinds {
		j := firstJobs[k]
		fmt.Fprintf(&b, "  - {name: %s, team: %s, class: %s, resources: {cpu: %d, memory: %d}, expectedMs: %d, checkpointMs: %d, safeTwice: %t}\n",
			k, j.Team, j.Class, j.Declared.CPU, j.Declared.Memory, j.DeclaredRunTime, j.CheckpointInterval, j.SafeToRepeat)
	}
	return service.Parse([]byte(b.String()))
}
