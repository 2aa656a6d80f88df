package dispatch

import "mimosadock/schedule/unit"

// Summary counts the rows of a shard.
type Summary struct {
	Jobs      map[string]int  `json:"jobs"`  // by state
	Tasks     map[string]int  `json:"tasks"` // of open jobs, by state
	Executors []ExecutorState `json:"executors"`
}

// ExecutorState is the state of an executor as its owner sees it.
type ExecutorState struct {
	Executor unit.Executor  `json:"executor"`
	Service  unit.Service   `json:"service"`
	Runs     int            `json:"runs"`
	Used     unit.Resources `json:"used"`
	Known    bool           `json:"known"`  // what runs there is known
	Silent   bool           `json:"silent"` // the last order got no answer
	Draining bool           `json:"draining"`
	Listed   bool           `json:"listed"`
}

// Summarize returns the counts of s.
func (s *Shard) Summarize() Summary {
	out := Summary{Jobs: make(map[string]int), Tasks: make(map[string]int)}
	for id, j := range s.jobs.All() {
		out.Jobs[j.State.String()]++
		if j.Spec != nil {
			s.forEachTask(id, j, func(_ TaskID, _ *Step, t *Task) { out.Tasks[t.State.String()]++ })
		}
	}
	for _, e := range s.executors.All() {
		out.Executors = append(out.Executors, ExecutorState{
			Executor: e.Executor, Service: e.Service, Runs: len(e.runs), Used: e.reserved, Known: e.synced,
			Silent: e.unresponsive, Draining: e.Draining, Listed: e.registered,
		})
	}
	return out
}
