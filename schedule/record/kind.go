package record

//go:generate go tool stringer -type=Kind,Fault -linecomment -output=enums_string.go

// Kind is what a record is about. The numbers are part of the journal format:
// new kinds are added at the end.
type Kind uint8

// The kinds of records.
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

// Kinds is one more than the highest known kind.
const Kinds = int(Audit) + 1

// KindSet is a set of kinds. The zero value is empty.
type KindSet uint32

// With returns the set with k in it. Kinds above 31 have no place and set all.
func (s KindSet) With(k Kind) KindSet {
	if k > 31 {
		return ^KindSet(0)
	}
	return s | 1<<k
}

// Has reports whether k may be in the set.
func (s KindSet) Has(k Kind) bool { return k > 31 || s&(1<<k) != 0 }

// Fault says why a record can't be used.
type Fault uint8

// The faults of records.
const (
	Sound          Fault = iota // sound
	Damaged                     // damaged
	UnknownVersion              // unknownVersion
	UnknownKind                 // unknownKind
)

// faultCount is the number of faults.
const faultCount = int(UnknownKind) + 1
