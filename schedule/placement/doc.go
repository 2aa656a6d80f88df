// Package placement ranks workers for a task, attempts for eviction, and
// tasks in a queue.
//
// Each ranking is a [Policy]. Each policy in use has one or more simple
// baselines in the same file.
package placement
