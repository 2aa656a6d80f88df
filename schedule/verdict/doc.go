// Package verdict classifies errors by whether a request or a command may have
// run.
//
// Every error that the system returns for a request or a command carries a
// [Verdict]. Callers can safely retry a request with the verdict [DidNotRun].
// They may retry one with the verdict [MayHaveRun] only if it is idempotent.
package verdict
