package record

import (
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

func jobOf(state dispatch.JobState) *dispatch.Job {
	return &dispatch.Job{
		Queue: "q", State: state, AcceptedAt: 5, Occurrences: []dispatch.Occurrence{{Steps: []dispatch.StepState{{Tasks: []dispatch.Task{
			{State: dispatch.TaskRunning, Run: 3, Executor: "x", Incarnation: 7, Checkpoint: "c", Failures: 1},
			{State: dispatch.TaskDone, Run: 1},
			{State: dispatch.TaskReady},
		}, Gang: dispatch.GangFailures{Failed: 2, LastRun: 3}}}}},
	}
}

// storeAndLoad encodes changes in order and decodes the newest record of each key.
func storeAndLoad(is *is.I, limits Limits, changes []dispatch.Change) *Set {
	newest := make(map[string][]byte)
	w := NewWriter(limits, new(Set))
	for i := range changes {
		g, err := w.Encode(&changes[i])
		is.NoErr(err)
		for _, r := range g.Records {
			is.True(limits.Record == 0 || unit.Bytes(recordOverhead+len(r.Key)+len(r.Value)) <= limits.Record)
			newest[r.Key] = r.Value
		}
	}
	set := new(Set)
	for k, v := range newest {
		is.NoErr(set.Add(dispatch.Record{Key: k, Value: v}))
	}
	is.NoErr(set.Join())
	return set
}

// TestRoundTrip guards against fields that are lost when a successor decodes the
// records of an owner.
func TestRoundTrip(t *testing.T) {
	spec := &dispatch.Spec{ID: "j", Payload: "p", Steps: []dispatch.Step{{Count: 3, Fills: true}}}
	for name, c := range map[string]struct {
		changes []dispatch.Change
		jobs    int
		spec    bool
	}{
		"new":          {[]dispatch.Change{{ID: "j", Job: jobOf(dispatch.JobRunning), Spec: spec}}, 1, true},
		"spec deleted": {[]dispatch.Change{{ID: "j", Job: jobOf(dispatch.JobRunning), Spec: spec}, {ID: "j", Job: jobOf(dispatch.JobCompleted), DropSpec: true}}, 1, false},
		"dropped":      {[]dispatch.Change{{ID: "j", Job: jobOf(dispatch.JobCompleted)}, {ID: "j", Drop: true}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			set := storeAndLoad(is, Limits{}, c.changes)
			jobs := set.Jobs()
			is.Equal(len(jobs), c.jobs)
			if c.jobs == 0 {
				return
			}
			is.Equal(jobs[0].Job, *c.changes[len(c.changes)-1].Job)
			is.Equal(jobs[0].Spec != nil, c.spec)
		})
	}
}

// TestLeaseRecord guards against a successor that does not know what its predecessor
// knew of leases, and waits for them anew.
func TestLeaseRecord(t *testing.T) {
	is := is.New(t)
	first := &dispatch.LeaseRecord{Member: "a", Lease: 7200, Renewal: 1200, TTL: 1200}
	last := &dispatch.LeaseRecord{
		Member: "b", Lease: 6000, Renewal: 1000, TTL: 1100, Bounds: []dispatch.LeaseBound{{Executor: "x", Remaining: 4321}},
		References: []dispatch.ReferenceClock{{Executor: "y", Incarnation: 7, Reading: 99}},
	}
	set := storeAndLoad(is, Limits{}, []dispatch.Change{{Leases: first}, {Leases: last}})
	is.Equal(set.Leases, last)
	is.Equal(storeAndLoad(is, Limits{}, nil).Leases, (*dispatch.LeaseRecord)(nil)) // a version that stores none
}

// TestLoans guards against a successor that uses an executor which is lent, or
// whose fencing tokens are below those of a former borrower.
func TestLoans(t *testing.T) {
	lent := dispatch.Loan{Executor: "x", TokenBase: 7 << 10, Lent: true, Borrower: 2}
	returned := dispatch.Loan{Executor: "x", TokenBase: 9 << 10}
	for name, c := range map[string]struct {
		changes []dispatch.Change
		want    []dispatch.Loan
	}{
		"lent":     {[]dispatch.Change{{Loan: &lent}}, []dispatch.Loan{lent}},
		"returned": {[]dispatch.Change{{Loan: &lent}, {Loan: &returned}}, []dispatch.Loan{returned}},
		"dropped":  {[]dispatch.Change{{Loan: &returned}, {Loan: &returned, Drop: true}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			set := storeAndLoad(is, Limits{}, c.changes)
			is.Equal(set.Loans, c.want)
		})
	}
}

// TestInterferenceModels guards against a successor that loses the models of the
// former owner because it can't decode their record.
func TestInterferenceModels(t *testing.T) {
	is := is.New(t)
	in := map[unit.Image]*dispatch.InterferenceModel{"s": {Least: 4, Images: []unit.Image{"f"}, Sums: [][]float64{{2}}, Moments: []float64{1}}}
	records, err := EncodeInterferenceModels(nil, in)
	is.NoErr(err)
	var set Set
	is.NoErr(set.Add(records[0]))
	is.Equal(set.InterferenceModels, in)
}

// FuzzAdd guards against a panic on records that another version of the software
// wrote.
func FuzzAdd(f *testing.F) {
	records, err := encode(&dispatch.Change{ID: "j", Job: jobOf(dispatch.JobRunning), Spec: &dispatch.Spec{ID: "j"}}, true)
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range records {
		f.Add(r.Key, r.Value)
	}
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		var s Set
		_ = s.Add(dispatch.Record{Key: key, Value: value}) // an error is allowed, a panic is not
		_ = s.Join()
		s.Jobs()
	})
}

// Guards against a schedule that starts its done occurrences again after a takeover,
// and against records that grow with the tasks in them.
func TestDoneOccurrences(t *testing.T) {
	is := is.New(t)
	const done = 10_000
	j := jobOf(dispatch.JobRunning)
	j.Occurrences = append(make([]dispatch.Occurrence, done), j.Occurrences...)
	set := storeAndLoad(is, Limits{}, []dispatch.Change{{ID: "j", Job: j}})
	loaded := set.Jobs()[0].Job
	is.Equal(len(loaded.Occurrences), done+1)
	for k := range done {
		is.Equal(len(loaded.Occurrences[k].Steps), 0)
	}
	is.Equal(loaded.Occurrences[done].Steps[0].Tasks, j.Occurrences[done].Steps[0].Tasks)
	g, err := NewWriter(Limits{}, new(Set)).Encode(&dispatch.Change{ID: "j", Job: j})
	is.NoErr(err)
	is.True(g.size() < done+200)
}
