// Package config decides which services text is in force.
//
// Operators append changes to the journal. Each change names its base revision.
// Every reader applies the changes in journal order with compare-and-set, so
// all readers get the same result: of two changes with the same base revision
// the first in the journal is accepted and the other is refused as stale.
//
// A [Register] holds the result. It also adopts a higher revision from a peer.
// An adopted revision takes no part in the compare-and-set. The revision in
// force never decreases. If the journal has lost the records of the configuration
// in force, a process writes that configuration into a fresh snapshot, see package
// snapshot.
package config
