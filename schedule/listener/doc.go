// Package listener keeps the clients of an HTTP server within the limits of package
// intake.
//
// A [Guard] wraps the listener and the handler of a server. It counts the
// connections, reserves the memory of headers and bodies as they arrive, and ends
// the requests of clients that the table of package intake gives up. A client whose
// header or idle connection is given up loses the connection. For a body that is
// given up, reads fail, so that the handler can still answer that the request has
// not run.
package listener
