// Package pool manages the connections to upstreams.
//
// It writes requests and reads responses on its own connections, with one
// request at a time on each. It can therefore determine for each failure
// whether a byte of the request may have been sent. A connection is reused only
// after the request was written completely and the response was read
// completely.
//
// A connection that makes no progress while the upstream responds to later
// requests is stalled and is closed. This doesn't count as a failure of the
// upstream. TCP keep-alive probes detect lost connections of long requests.
package pool
