// Package group starts goroutines that belong together and waits for them.
//
// Every goroutine of the project is started through a [Group], so that none
// outlives its owner and the state dump can name those that run.
package group
