// Package queue orders the requests that wait for a slot.
//
// A [Queue] has one bounded part per class, ordered by deadline. It refuses
// work that can't be answered in time at once, and it holds bulk requests to a
// share of the slots while urgent ones wait or their demand rises. It keeps no
// time of its own and is not safe for concurrent use.
package queue
