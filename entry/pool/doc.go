// Package pool keeps the connections to upstreams.
//
// It writes requests and reads answers on connections of its own, one request
// at a time, so that it knows for each failure whether a byte of the request
// may have left.
package pool
