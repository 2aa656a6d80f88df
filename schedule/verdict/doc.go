// Package verdict tells whether a request or a command may have run.
//
// Every error that the system reports about work carries a [Verdict]. Callers
// may repeat a request with the verdict [DidNotRun] without a risk; a request
// that [MayHaveRun] may only be repeated if it is idempotent.
package verdict
