// Package pool keeps the connections to upstreams.
//
// It writes requests and reads answers on connections of its own, one request
// at a time, so that it knows for each failure whether a byte of the request
// may have left. A connection is used again only after the request was written
// whole and the answer was read whole.
//
// A connection that makes no progress while later requests to the same host are
// answered is taken for silent and closed; the host is not blamed. Keep-alive
// probes of the kernel find silent connections under long requests.
package pool
