// Package journal states what the scheduler needs of the append-only log
// service of the platform.
//
// An append can take effect although its answer is lost. Implementations
// return a [verdict.Error] with the verdict MayHaveRun for that case, and the
// caller settles it by reading. Records are opaque here; package record
// encodes them.
package journal
