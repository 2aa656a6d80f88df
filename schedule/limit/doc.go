// Package limit bounds what teams, callers and upstreams get.
//
// A [Gate] is a token bucket with a cap on concurrency; a [Table] holds the
// gates of callers in a fixed number of rows. Both work without locks, so that
// request goroutines use them directly. An [Adaptive] lowers the requests in
// flight on one upstream when its latency shows that its slots are too many.
package limit
