// Package job holds the jobs of a data centre and their tasks.
//
// Every state change of a task follows one table of allowed transitions and
// names the attempt that it concerns. Changes that must outlast the owner
// are records. [Tables.Apply] applies a record and is idempotent.
package job
