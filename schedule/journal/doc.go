// Package journal defines the interface to the append-only log service of the
// platform.
//
// An append can take effect although its response is lost. Implementations then
// return a [verdict.Error] with the verdict MayHaveRun, and the appending process
// reads the journal to find the outcome. This package treats entries as opaque
// bytes; package record encodes them.
package journal
