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

// Fault says why a record can't be used.
type Fault uint8

// The faults of records.
const (
	Sound          Fault = iota // sound
	Damaged                     // damaged
	UnknownVersion              // unknownVersion
	UnknownKind                 // unknownKind
)

// faults is the number of faults.
const faults = int(UnknownKind) + 1
