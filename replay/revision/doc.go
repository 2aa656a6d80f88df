// Package revision replays the changes of a trace against the decisions about
// configuration in virtual time.
//
// Every process of a [Simulation] has the register of package config. It reads
// the records of package record from the stand-in journal. Connected processes
// exchange their revisions with heartbeats.
package revision
