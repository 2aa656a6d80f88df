// Package record encodes the jobs, the loans and leases of executors, the
// interference models and the layout of shards for the store.
//
// A job has two keyed records: its spec, which is written once, and its state,
// which is written after each change. A value that is larger than a record is
// stored in parts, see [Writer]. All records are CBOR. The numbers of their
// fields must not change.
package record

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// Keys and key prefixes of the records.
const (
	specPrefix  = "s/"
	statePrefix = "d/"
	loanPrefix  = "x/"
	modelsKey   = "l" // the interference models of the shard
	leasesKey   = "e" // the lease record of the owner
	proofKey    = "o" // never has a value, see OwnershipProof
)

// state is the record of a job's state.
type state struct {
	Queue       unit.Queue        `cbor:"1,keyasint"`
	State       dispatch.JobState `cbor:"2,keyasint"`
	AcceptedAt  unit.UnixMillis   `cbor:"3,keyasint"`
	EndedAt     unit.UnixMillis   `cbor:"4,keyasint,omitempty"`
	Occurrences [][][]task        `cbor:"5,keyasint,omitempty"`
	Executors   []unit.Executor   `cbor:"6,keyasint,omitempty"` // referenced by index from the tasks
	Lives       []unit.UnixMillis `cbor:"7,keyasint,omitempty"` // start times of the executors, by the same index
	Checkpoints []unit.Checkpoint `cbor:"8,keyasint,omitempty"` // referenced by index from the tasks
	Gangs       []gang            `cbor:"9,keyasint,omitempty"` // those with failures
}

// gang is the record of the failures of a gang.
type gang struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Failed     int
	LastRun    unit.Run
}

// task is the record of a task.
type task struct {
	_          struct{} `cbor:",toarray"`
	State      dispatch.TaskState
	Run        unit.Run
	Executor   int // index into state.Executors, starting at 1; 0 is none
	Checkpoint int // index into state.Checkpoints, starting at 1; 0 is none
	Failures   int
}

// encode returns the records of a change, with or without the checkpoints of tasks.
// A record without a value deletes its key.
func encode(c *dispatch.Change, withCheckpoints bool) ([]dispatch.Record, error) {
	var dst []dispatch.Record
	switch {
	case c.Loan != nil:
		return encodeLoan(c)
	case c.Leases != nil:
		b, err := cbor.Marshal(c.Leases)
		if err != nil {
			return nil, fmt.Errorf("lease record: %w", err)
		}
		return append(dst, dispatch.Record{Key: leasesKey, Value: b}), nil
	}
	specKey, stateKey := specPrefix+string(c.ID), statePrefix+string(c.ID)
	if c.Drop {
		return append(dst, dispatch.Record{Key: stateKey}), nil
	}
	if c.Spec != nil {
		b, err := cbor.Marshal(c.Spec)
		if err != nil {
			return nil, fmt.Errorf("spec of %s: %w", c.ID, err)
		}
		dst = append(dst, dispatch.Record{Key: specKey, Value: b})
	}
	b, err := cbor.Marshal(newState(c.Job, withCheckpoints))
	if err != nil {
		return nil, fmt.Errorf("state of %s: %w", c.ID, err)
	}
	dst = append(dst, dispatch.Record{Key: stateKey, Value: b})
	if c.DropSpec {
		dst = append(dst, dispatch.Record{Key: specKey})
	}
	return dst, nil
}

// encodeLoan returns the record of a loan.
func encodeLoan(c *dispatch.Change) ([]dispatch.Record, error) {
	key := loanPrefix + string(c.Loan.Executor)
	if c.Drop {
		return []dispatch.Record{{Key: key}}, nil
	}
	b, err := cbor.Marshal(c.Loan)
	if err != nil {
		return nil, fmt.Errorf("loan of %s: %w", c.Loan.Executor, err)
	}
	return []dispatch.Record{{Key: key, Value: b}}, nil
}

// newState returns the record of a job's state. It leaves out the executors and
// checkpoints of tasks that are done.
func newState(j *dispatch.Job, withCheckpoints bool) *state {
	s := &state{Queue: j.Queue, State: j.State, AcceptedAt: j.AcceptedAt, EndedAt: j.EndedAt}
	type incarnation struct {
		id        unit.Executor
		startedAt unit.UnixMillis
	}
	indexes := make(map[incarnation]int)
	for k := range j.Occurrences {
		steps := make([][]task, len(j.Occurrences[k].Steps))
		for i := range steps {
			if f := j.Occurrences[k].Steps[i].Gang; f.Failed > 0 {
				s.Gangs = append(s.Gangs, gang{Occurrence: k, Step: i, Failed: f.Failed, LastRun: f.LastRun})
			}
			tasks := j.Occurrences[k].Steps[i].Tasks
			steps[i] = make([]task, len(tasks))
			for n := range tasks {
				t := &tasks[n]
				r := task{State: t.State, Run: t.Run, Failures: t.Failures}
				if t.Executor != "" && t.State != dispatch.TaskDone {
					x := incarnation{t.Executor, t.Incarnation}
					if indexes[x] == 0 {
						s.Executors, s.Lives = append(s.Executors, x.id), append(s.Lives, x.startedAt)
						indexes[x] = len(s.Executors)
					}
					r.Executor = indexes[x]
				}
				if withCheckpoints && t.Checkpoint != "" && t.State != dispatch.TaskDone {
					s.Checkpoints = append(s.Checkpoints, t.Checkpoint)
					r.Checkpoint = len(s.Checkpoints)
				}
				steps[i][n] = r
			}
		}
		s.Occurrences = append(s.Occurrences, steps)
	}
	return s
}

// EncodeInterferenceModels appends the record of the interference models of a
// shard, by serving image, to dst. On an error it returns dst unchanged.
func EncodeInterferenceModels(dst []dispatch.Record, models map[unit.Image]*dispatch.InterferenceModel) ([]dispatch.Record, error) {
	b, err := cbor.Marshal(models)
	if err != nil {
		return dst, fmt.Errorf("interference models: %w", err)
	}
	return append(dst, dispatch.Record{Key: modelsKey, Value: b}), nil
}

// SavedJob is a stored job.
type SavedJob struct {
	ID   unit.Job
	Job  dispatch.Job
	Spec *dispatch.Spec // nil if it is no longer stored
}

// Set holds the decoded records of a shard. The zero value is empty and ready to
// use.
type Set struct {
	InterferenceModels map[unit.Image]*dispatch.InterferenceModel
	Loans              []dispatch.Loan
	Leases             *dispatch.LeaseRecord // nil if there is none

	jobs      map[unit.Job]*SavedJob
	manifests map[string]int            // number of parts of each value that is stored in parts
	parts     map[string]map[int][]byte // by the key of the value and the number of the part
}

// Add decodes a record and adds it to the set. It ignores a record without a
// value. It returns an error for an unknown kind of key, and for a value that
// can't be decoded or is inconsistent. After the last record, [Set.Join] adds the
// values that are stored in parts.
func (s *Set) Add(r dispatch.Record) error {
	if len(r.Value) == 0 {
		return nil
	}
	if s.jobs == nil {
		s.jobs = make(map[unit.Job]*SavedJob)
	}
	if s.addPart(r) || s.addManifest(r) {
		return nil
	}
	if r.Key == modelsKey {
		if err := cbor.Unmarshal(r.Value, &s.InterferenceModels); err != nil {
			return fmt.Errorf("record %s: %w", r.Key, err)
		}
		return nil
	}
	if r.Key == leasesKey {
		leases := new(dispatch.LeaseRecord)
		if err := cbor.Unmarshal(r.Value, leases); err != nil {
			return fmt.Errorf("record %s: %w", r.Key, err)
		}
		s.Leases = leases
		return nil
	}
	if id, ok := strings.CutPrefix(r.Key, specPrefix); ok {
		spec := new(dispatch.Spec)
		if err := cbor.Unmarshal(r.Value, spec); err != nil {
			return fmt.Errorf("record %s: %w", r.Key, err)
		}
		s.entry(unit.Job(id)).Spec = spec
		return nil
	}
	if _, ok := strings.CutPrefix(r.Key, loanPrefix); ok {
		var l dispatch.Loan
		if err := cbor.Unmarshal(r.Value, &l); err != nil {
			return fmt.Errorf("record %s: %w", r.Key, err)
		}
		s.Loans = append(s.Loans, l)
		return nil
	}
	id, ok := strings.CutPrefix(r.Key, statePrefix)
	if !ok {
		return fmt.Errorf("record %s: unknown kind", r.Key)
	}
	var st state
	if err := cbor.Unmarshal(r.Value, &st); err != nil {
		return fmt.Errorf("record %s: %w", r.Key, err)
	}
	j, err := st.job()
	if err != nil {
		return fmt.Errorf("record %s: %w", r.Key, err)
	}
	s.entry(unit.Job(id)).Job = j
	return nil
}

// entry returns the entry of a job and creates it if necessary.
func (s *Set) entry(id unit.Job) *SavedJob {
	j := s.jobs[id]
	if j == nil {
		j = &SavedJob{ID: id}
		s.jobs[id] = j
	}
	return j
}

// Jobs returns the jobs that have a state, in no particular order.
func (s *Set) Jobs() []*SavedJob {
	var out []*SavedJob
	for _, j := range s.jobs {
		if j.Job.State != dispatch.JobUnknown {
			out = append(out, j)
		}
	}
	return out
}

// job returns the job of a state record. It returns an error if a task refers to
// an executor or checkpoint that the record does not contain.
func (s *state) job() (dispatch.Job, error) {
	j := dispatch.Job{Queue: s.Queue, State: s.State, AcceptedAt: s.AcceptedAt, EndedAt: s.EndedAt}
	for _, steps := range s.Occurrences {
		o := dispatch.Occurrence{Steps: make([]dispatch.StepState, len(steps))}
		for i, tasks := range steps {
			o.Steps[i].Tasks = make([]dispatch.Task, len(tasks))
			for n, r := range tasks {
				if r.Executor < 0 || r.Executor > len(s.Executors) || r.Checkpoint < 0 || r.Checkpoint > len(s.Checkpoints) || len(s.Lives) != len(s.Executors) {
					return j, fmt.Errorf("task %d.%d refers to a missing executor or checkpoint", i, n)
				}
				t := dispatch.Task{State: r.State, Run: r.Run, Failures: r.Failures}
				if r.Executor > 0 {
					t.Executor, t.Incarnation = s.Executors[r.Executor-1], s.Lives[r.Executor-1]
				}
				if r.Checkpoint > 0 {
					t.Checkpoint = s.Checkpoints[r.Checkpoint-1]
				}
				o.Steps[i].Tasks[n] = t
			}
		}
		j.Occurrences = append(j.Occurrences, o)
	}
	for _, g := range s.Gangs {
		if g.Occurrence < 0 || g.Occurrence >= len(j.Occurrences) || g.Step < 0 || g.Step >= len(j.Occurrences[g.Occurrence].Steps) {
			return j, fmt.Errorf("gang %d.%d does not exist", g.Occurrence, g.Step)
		}
		j.Occurrences[g.Occurrence].Steps[g.Step].Gang = dispatch.GangFailures{Failed: g.Failed, LastRun: g.LastRun}
	}
	return j, nil
}
