// Package revision replays the changes of a trace against the decisions about
// configuration in virtual time.
//
// Every process of a [World] has the register of package config and follows the
// stand-in journal, through the records of package record; peers in contact
// tell each other their revisions with heartbeats.
package revision
