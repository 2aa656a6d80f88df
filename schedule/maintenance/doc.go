// Package maintenance plans maintenance waves. Each machine of a wave goes down
// once within a time limit, and only a limited number of machines are down at
// once.
//
// A [Plan] holds the waves and their machines. The owner of the plan is the
// scheduler process that owns the first shard. It reports events to the plan and
// carries out the actions that [Plan.NextActions] returns. The owner of an
// executor is the scheduler process that owns the shard of the executor. It
// evacuates the executor on request.
//
// A machine is evacuated before it goes down. If the evacuation times out, the
// machine goes down anyway unless it runs a blocking task, see
// [EvacuationStatus]. The package does no I/O and receives the time as an
// argument.
package maintenance
