package work

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// maxListed is the maximum length of each list of a view.
const maxListed = 100

// View is a summary of a board for operators. It is immutable.
type View struct {
	Home                unit.DataCentre `json:"home"`
	Epoch               unit.Epoch      `json:"epoch"`
	FormerAttemptsEnded bool            `json:"settled"`
	Jobs                int             `json:"jobs"`
	Tasks               map[string]int  `json:"tasks"` // by state
	Workers             int             `json:"workers"`
	Ready               int             `json:"ready"`
	Quarantined         []unit.Worker   `json:"quarantined,omitempty"`
	Standing            []StandingTask  `json:"standing,omitempty"`
	Blocked             []Blocked       `json:"blocked,omitempty"`
	Count               Counters        `json:"count"`
}

// StandingTask describes a task of standing work and its interruptions.
type StandingTask struct {
	Task            unit.Task   `json:"task"`
	State           job.State   `json:"state"`
	Worker          unit.Worker `json:"worker,omitempty"`
	Interruptions   int         `json:"gaps"`
	InterruptedTime clock.Span  `json:"gapMs"`
}

// Blocked describes a task that waits for a dependency.
type Blocked struct {
	Task    unit.Task `json:"task"`
	WaitsOn string    `json:"waitsOn"`
}

// View returns a summary of the board. Its time is proportional to the
// number of tasks.
func (b *Board) View(now clock.Millis) *View {
	v := &View{
		Home: b.Home, Epoch: b.authority.Epoch, FormerAttemptsEnded: b.formerAttemptsEnded(now), Jobs: b.Jobs.Jobs.Len(),
		Tasks: make(map[string]int), Workers: b.Workers.Workers.Len(), Count: b.Count,
	}
	for id, k := range b.Jobs.Tasks.All() {
		v.Tasks[k.State.String()]++
		if k.State.Ended() {
			continue
		}
		if k.WaitsOn != "" && len(v.Blocked) < maxListed {
			v.Blocked = append(v.Blocked, Blocked{id, k.WaitsOn})
		}
		if j := b.Jobs.Jobs.Get(k.Job); j.Terms.Class == service.Standing && len(v.Standing) < maxListed {
			v.Standing = append(v.Standing, StandingTask{id, k.State, k.Worker, k.Interruptions, k.InterruptedTime})
		}
	}
	for id, r := range b.Workers.Workers.All() {
		if r.Ready(b.authority.Epoch, now) {
			v.Ready++
		}
		if r.Health.Quarantined && len(v.Quarantined) < maxListed {
			v.Quarantined = append(v.Quarantined, id)
		}
	}
	return v
}

// Status is the state of a job as a caller receives it.
type Status struct {
	Job           unit.Job  `json:"job"`
	State         job.State `json:"state"`
	Durable       bool      `json:"durable"` // the journal holds the state
	Tasks         int       `json:"tasks"`
	FinishedTasks int       `json:"done"`
	Evictions     int       `json:"evictions"`
	WaitsOn       string    `json:"waitsOn,omitempty"`
	Reason        string    `json:"reason,omitempty"`
}

// Status returns the state of a job as a caller receives it, and whether the
// job is known.
func (b *Board) Status(id unit.Job) (Status, bool) {
	state, known, durable := b.Outcome(id)
	if !known {
		return Status{}, false
	}
	j := b.Jobs.Jobs.Get(id)
	s := Status{
		Job: id, State: state, Durable: durable, Tasks: j.Spec.Tasks, FinishedTasks: j.FinishedTasks,
		Evictions: j.Evictions, Reason: j.Reason,
	}
	for i := 0; i < j.Spec.Tasks && s.WaitsOn == ""; i++ {
		if k := b.Jobs.Tasks.Get(job.TaskID(id, i)); k != nil {
			s.WaitsOn = k.WaitsOn
		}
	}
	return s, true
}
