// Package work replays the jobs of a trace against the decision code of the
// workers in virtual time.
//
// A [World] keeps workers, jobs, tasks and attempts in tables; systems run over
// them once a tick. The workers are fakes behind the interface of package
// worker that act on the true sizes and run times of the trace: an attempt
// advances at the share of processor that it gets, and the guard of a worker
// ends the attempt that is most above its limit when memory runs out.
package work
