// Package group manages groups of goroutines.
//
// The project starts every goroutine through a [Group]. No goroutine outlives its
// owner, and the state dump lists the running goroutines by name.
package group
