// Package maintenance plans maintenance waves. Each machine of a wave goes down
// once within a time limit, and only a limited number of machines are down at
// once.
//
// A [Plan] holds the waves and their machines. Its owner reports events to it
// and calls [Plan.NextActions], which returns the next actions. A machine is
// evacuated before it goes down. If the evacuation times out, the machine goes
// down anyway unless it runs a blocking task, see [EvacuationStatus]. The package
// does no I/O and receives the time as an argument.
package maintenance
