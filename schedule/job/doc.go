// Package job keeps the jobs of a data centre and their tasks.
//
// Every change of a task goes through one table of allowed transitions and
// names the attempt that it concerns. Changes that must survive the owner are
// records; [Tables.Apply] applies a record, and applying it again changes
// nothing.
package job
