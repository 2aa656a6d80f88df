// Package work replays the jobs of a trace in virtual time against the code that
// schedules jobs on workers, which is package work of the schedule module.
//
// A [Simulation] keeps workers, jobs, tasks and attempts in tables. Systems run
// over the tables once a tick. The simulated workers implement the agent
// interface of package worker and use the actual sizes and run times of the
// trace. An attempt progresses in proportion to the processor time that it gets.
// A worker that runs out of memory ends the attempt that exceeds its memory
// limit by the largest amount.
package work
