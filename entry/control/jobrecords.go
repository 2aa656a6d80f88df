package control

import (
	"strings"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/job"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/tenure"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// jobsSection is the name of the section with the jobs in the snapshot of a
// data centre.
const jobsSection = "jobs"

// jobAppendTimeout limits the wait of a job record until its append starts. The
// board submits a record again that was not appended.
const jobAppendTimeout = 5 * clock.Second

// journalJobAppender is the [JobRecordAppender] that writes job records to the
// journal.
type journalJobAppender struct{}

var _ JobRecordAppender = journalJobAppender{}

// Append submits one record to the journal and calls written with the verdict.
func (journalJobAppender) Append(s *State, r job.Record, written WrittenFunc) {
	rec, err := record.Encode(&s.origin, recordKind(r), r)
	if err == nil {
		err = s.SubmitRecords([]record.Record{rec}, s.clock.Now().Add(jobAppendTimeout), func(s *State, receipt stream.Receipt, now clock.Millis) {
			written(s, verdict.Of(receipt.Err), now)
		})
	}
	if err != nil {
		written(s, verdict.DidNotRun, s.clock.Now())
	}
}

// recordKind returns the journal kind of r. It panics for an unknown type.
func recordKind(r job.Record) record.Kind {
	switch r.(type) {
	case job.Submitted:
		return record.Submitted
	case job.Started:
		return record.Started
	case job.Checkpointed:
		return record.Checkpointed
	case job.Evicted:
		return record.Evicted
	case job.Finished:
		return record.Finished
	case job.Failed:
		return record.Failed
	case job.Cancelled:
		return record.Cancelled
	case job.Impossible:
		return record.Impossible
	case job.Moved:
		return record.Moved
	default:
		panic("control: record of an unknown type")
	}
}

// HandleJobs registers the handlers and the snapshot section for jobs and
// returns the appender of job records. It must be called before Run.
func (l *Loop) HandleJobs() JobRecordAppender {
	l.OnRecord(record.Submitted, applyJob[job.Submitted])
	l.OnRecord(record.Started, applyJob[job.Started])
	l.OnRecord(record.Checkpointed, applyJob[job.Checkpointed])
	l.OnRecord(record.Evicted, applyJob[job.Evicted])
	l.OnRecord(record.Finished, applyJob[job.Finished])
	l.OnRecord(record.Failed, applyJob[job.Failed])
	l.OnRecord(record.Cancelled, applyJob[job.Cancelled])
	l.OnRecord(record.Impossible, applyJob[job.Impossible])
	l.OnRecord(record.Moved, applyJob[job.Moved])
	l.AddSection(Section{Name: jobsSection, Save: saveJobs, Restore: restoreJobs})
	return journalJobAppender{}
}

func applyJob[R job.Record](s *State, it record.DecodedRecord, now clock.Millis) {
	r, err := record.Decode[R](it.Record)
	if err != nil {
		unreadableBodies.Add(1)
		return
	}
	s.ApplyJob(r, now)
}

// fenceJobs fences the job records of former owners at the epoch of the claim.
// Every reader does so at the same offset of the journal, so all readers reject
// the same records.
func (s *State) fenceJobs(c *tenure.Claim) { s.Board(c.DataCentre).Jobs.Fence(c.Epoch) }

// savedJobs is the snapshot section with the jobs of one data centre.
type savedJobs struct {
	Epoch unit.Epoch             `cbor:"1,keyasint"`
	Jobs  []job.Job              `cbor:"2,keyasint"`
	Tasks map[unit.Task]job.Task `cbor:"3,keyasint"`
}

func scopeHome(scope snapshot.Scope) unit.DataCentre {
	return unit.DataCentre(strings.TrimPrefix(string(scope), string(snapshot.ScopeOf(""))))
}

func saveJobs(s *State, scope snapshot.Scope) ([]byte, error) {
	t := &s.Board(scopeHome(scope)).Jobs
	saved := savedJobs{Epoch: t.Epoch, Tasks: make(map[unit.Task]job.Task, t.Tasks.Len())}
	for _, j := range t.Jobs.All() {
		if j.State != job.StateSubmitted { // the record of a submitted job may be missing from the journal
			saved.Jobs = append(saved.Jobs, *j)
		}
	}
	for id, k := range t.Tasks.All() {
		if k.State != job.StateSubmitted {
			saved.Tasks[id] = *k
		}
	}
	return record.Marshal(saved)
}

func restoreJobs(s *State, scope snapshot.Scope, _ unit.Offset, data []byte) error {
	saved, err := record.Unmarshal[savedJobs](data)
	if err != nil {
		return err
	}
	t := job.Tables{Epoch: saved.Epoch}
	for _, j := range saved.Jobs {
		// The deadline is not saved. For a job that has not ended, it is set when this
		// process becomes the owner; see [work.Board.SetAuthority].
		j.Deadline = clock.Never
		t.Jobs.Put(j.Spec.ID, j)
	}
	for id, k := range saved.Tasks {
		t.Tasks.Put(id, k)
	}
	s.Board(scopeHome(scope)).Jobs = t
	return nil
}
