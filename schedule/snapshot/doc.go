// Package snapshot writes the state of the scheduler into the journal before
// retention removes the records that it came from, and reads it back.
//
// A snapshot covers one [Scope]: the state that all data centres share, or
// that of one data centre. It is written as parts under the size limit of an
// entry and an end record with the checksum. An [Assembler] yields only
// complete snapshots whose checksum is right, whatever lies between their
// parts. A [Schedule] says when a scope needs a new one.
package snapshot
