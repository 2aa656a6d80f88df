// Package retry decides whether to retry a failed request and whether to hedge
// a slow one.
//
// A request is retried only if it did not run or is idempotent. A retry goes to
// another upstream and must fit into the deadline of the request and the retry
// budget of the process.
package retry
