// Package job holds the jobs of a data centre and their tasks.
//
// A job consists of equal tasks. An attempt is one run of a task at a worker.
// The attempts of a task are numbered, and a number is never reused. The home of
// a job is the data centre whose owner schedules it.
//
// Every state change of a task follows one table of allowed transitions and
// names the attempt that it concerns. Changes that must outlast the owner
// are records. [Tables.Apply] applies a record and is idempotent.
package job
