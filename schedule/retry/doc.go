// Package retry decides whether a failed request is sent again and whether a
// slow one is sent a second time.
//
// A request is only repeated if it did not run or may run twice, on another
// upstream, within its deadline and within a budget of the process.
package retry
