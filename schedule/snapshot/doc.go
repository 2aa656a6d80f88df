// Package snapshot writes the state of the scheduler into the journal before
// retention removes the records that it came from, and reads it back.
//
// A snapshot covers one [Scope]: the state that all data centres share, or the
// state of one data centre. It consists of parts that fit into a journal entry
// and of an end record with the checksum. Other records may lie between the
// parts. An [Assembler] returns only complete snapshots with a correct checksum.
// A [Schedule] decides when a scope needs a new snapshot.
package snapshot
