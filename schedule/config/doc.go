// Package config decides which services text is in force.
//
// Operators append changes that name the revision that they were made from.
// Every reader applies them in journal order with compare-and-set, so that all
// readers come to the same result: of two changes made from the same revision
// the first in the journal is accepted and the other is refused. A [Register]
// holds the result. It also adopts a higher revision that a peer has, which
// never takes part in the compare-and-set, and it never goes back to a lower
// one.
package config
