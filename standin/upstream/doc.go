// Package upstream is a stand-in for the executors of a service.
//
// It answers over plain HTTP, counts what it runs at once and how often each
// request id ran, and can be told to be slow.
package upstream
