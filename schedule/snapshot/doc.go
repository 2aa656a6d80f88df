// Package snapshot writes the state of the scheduler into the journal before
// retention removes the records that it came from, and reads it back.
//
// A snapshot covers one [Scope]: the state that all data centres share, or the
// state of one data centre. It consists of parts that fit into a journal entry
// and of an end record with the checksum. Other records may lie between the
// parts. An [Assembler] returns only complete snapshots with a correct checksum.
// A [Schedule] decides when a scope needs a new snapshot.
//
// A fresh snapshot is one whose configuration was not derived from the journal. A
// process writes it with the configuration that it has in force, after the journal
// has lost the records of that configuration. A recovering process uses it only if
// no other snapshot of the scope can be read.
package snapshot
