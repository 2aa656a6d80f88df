package control

import (
	"expvar"

	"mimosadock/entry/stream"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/record"
	"mimosadock/schedule/snapshot"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// snapshotDeadline is the longest time that the parts of a snapshot wait for
// the journal.
const snapshotDeadline = 20 * clock.Second

var (
	snapshotsWritten = expvar.NewInt("control.snapshots")
	snapshotsFailed  = expvar.NewInt("control.snapshotsFailed")
)

// Section is a named part of the state in snapshots. If Common is set, it
// belongs to the common snapshot, otherwise to the snapshot of each data
// centre.
type Section struct {
	Name   string
	Common bool
	// Save returns the state of the scope after the last applied record.
	Save func(s *State, scope snapshot.Scope) ([]byte, error)
	// Restore replaces the state of the scope. The state includes all records
	// before the offset at. Such records can be applied again and must then
	// have no effect.
	Restore func(s *State, scope snapshot.Scope, at unit.Offset, data []byte) error
}

// snapshotState holds the state of writing and restoring snapshots.
type snapshotState struct {
	// Owners are the live owners of the data centres, set by OwnerSystem.
	Owners []snapshot.Owner

	snapshotSchedule snapshot.Schedule
	sections         []Section
	restoredFrom     table.Table[snapshot.Scope, unit.Offset] // offset of the snapshot that each scope was restored from
}

// AddSection adds a section to the snapshots. It must be called before Run.
func (l *Loop) AddSection(sec Section) { l.state.sections = append(l.state.sections, sec) }

// SetSnapshotLimits sets the amount of journal after which a snapshot is due.
// It must be called before Run.
func (l *Loop) SetSnapshotLimits(limits snapshot.Limits) { l.state.snapshotSchedule.Limits = limits }

// restoreSections restores the sections of a snapshot. The configuration is
// restored separately, because its text is checked beforehand.
func (s *State) restoreSections(f snapshot.Snapshot) {
	s.restoredFrom.Put(f.Scope, f.At)
	for _, data := range f.Sections {
		for _, sec := range s.sections {
			if sec.Name != data.Name || sec.Restore == nil {
				continue
			}
			if sec.Restore(s, f.Scope, f.At, data.Data) != nil {
				snapshotsFailed.Add(1)
			}
		}
	}
}

// SnapshotSystem writes the due snapshots for which this process is
// responsible. It is harmless if two processes write the same snapshot, because
// readers use the newer one.
func SnapshotSystem(s *State, now clock.Millis) {
	if s.submitter == nil || !s.readToEnd || s.readFailing || !s.isOwner() {
		return
	}
	s.snapshotSchedule.RecordScope(snapshot.Common, 0)
	for _, o := range s.Owners {
		s.snapshotSchedule.RecordScope(snapshot.ScopeOf(o.DataCentre), s.next)
	}
	for _, scope := range s.snapshotSchedule.Scopes(nil) {
		if s.mustWriteSnapshot(scope, now) {
			s.writeSnapshot(scope, now)
		}
	}
}

func (s *State) isOwner() bool {
	for _, o := range s.Owners {
		if o.Instance == s.Self.Instance {
			return true
		}
	}
	return false
}

// mustWriteSnapshot reports whether this process, an owner, must write the
// snapshot of the scope. It must do so as the writer of the scope, or in place
// of a writer whose snapshot is overdue.
func (s *State) mustWriteSnapshot(scope snapshot.Scope, now clock.Millis) bool {
	if scope == snapshot.Common && s.register.Behind() {
		return s.mayRepublishConfig(now) && snapshot.Writer(scope, s.Owners) == s.Self.Instance && s.snapshotSchedule.NoAppendPending(scope, now)
	}
	if snapshot.Writer(scope, s.Owners) == s.Self.Instance {
		return s.snapshotSchedule.Due(scope, s.next, now)
	}
	return s.snapshotSchedule.Overdue(scope, s.next, now)
}

func (s *State) writeSnapshot(scope snapshot.Scope, now clock.Millis) {
	s.snapshotSchedule.RecordAttempt(scope, now)
	records, err := s.encodeSnapshot(scope)
	if err == nil {
		err = s.SubmitRecords(records, now.Add(snapshotDeadline), func(s *State, r stream.Receipt, _ clock.Millis) {
			if r.Err == nil {
				snapshotsWritten.Add(1)
				return
			}
			snapshotsFailed.Add(1)
			s.snapshotSchedule.RecordFailure(scope)
		})
	}
	if err != nil {
		snapshotsFailed.Add(1)
	}
}

func (s *State) encodeSnapshot(scope snapshot.Scope) ([]record.Record, error) {
	contents := snapshot.Contents{Scope: scope, At: s.next, Fresh: scope == snapshot.Common && s.register.Behind()}
	for _, sec := range s.sections {
		if sec.Common != (scope == snapshot.Common) {
			continue
		}
		data, err := sec.Save(s, scope)
		if err != nil {
			return nil, err
		}
		contents.Sections = append(contents.Sections, snapshot.Section{Name: sec.Name, Data: data})
	}
	return snapshot.Encode(&s.origin, contents, s.snapshotSchedule.Others(scope))
}
