package record

//go:generate go tool stringer -type=Kind,Fault -linecomment -output=enums_string.go

// Kind is the kind of a record. The numbers are part of the journal format, so
// new kinds must be added at the end.
type Kind uint8

// The kinds of records:
//   - Unset: not a valid kind.
//   - Join, Goodbye: an entry process joins the others or leaves them.
//   - Claim: a process claims the ownership of a data centre.
//   - Change: a change of the services text.
//   - Submitted, Cancelled: a job is accepted or cancelled.
//   - Started, Checkpointed: an attempt of a task starts or has a new checkpoint.
//   - Evicted, Failed, Finished: an attempt ends without a result, with a failure
//     or with a result.
//   - Impossible: a job can never run.
//   - Moved: a job moves to another data centre.
//   - SnapshotPart, SnapshotEnd: a part and the end of a snapshot.
//   - Audit: an administrative action.
const (
	Unset        Kind = iota // unset
	Join                     // join
	Goodbye                  // goodbye
	Claim                    // claim
	Change                   // change
	Submitted                // submitted
	Started                  // started
	Checkpointed             // checkpointed
	Evicted                  // evicted
	Finished                 // finished
	Failed                   // failed
	Cancelled                // cancelled
	Impossible               // impossible
	Moved                    // moved
	SnapshotPart             // snapshotPart
	SnapshotEnd              // snapshotEnd
	Audit                    // audit
)

// KindCount is the number of known kinds, including [Unset].
const KindCount = int(Audit) + 1

// KindSet is a set of kinds. The zero value is empty.
type KindSet uint32

// With returns the set with k added. The set has no bit for kinds above 31;
// adding one of these sets all bits.
func (s KindSet) With(k Kind) KindSet {
	if k > 31 {
		return ^KindSet(0)
	}
	return s | 1<<k
}

// Has reports whether k may be in the set. It is always true for kinds above 31.
func (s KindSet) Has(k Kind) bool { return k > 31 || s&(1<<k) != 0 }

// Fault is the reason why a record can't be used.
type Fault uint8

// The faults of records. A sound record has no fault. UnknownVersion stands for an
// unknown version of the record envelope or an unknown format of the entry.
const (
	NoFault        Fault = iota // sound
	Damaged                     // damaged
	UnknownVersion              // unknownVersion
	UnknownKind                 // unknownKind
)

// faultCount is the number of values of [Fault], including [NoFault].
const faultCount = int(UnknownKind) + 1
