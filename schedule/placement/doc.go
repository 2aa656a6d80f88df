// Package placement ranks workers for a task, attempts for eviction, and
// tasks in a queue.
//
// Each ranking is a [Policy]. Each policy in use has a simple baseline in
// the same file, and the tests compare the two.
package placement
