// Package limit enforces rate and concurrency limits of teams, callers and
// upstreams.
//
// A [Gate] is a token bucket with a limit on concurrency. A [Table] holds the
// gates of callers in a fixed number of rows. Both are lock-free, so request
// goroutines use them directly. An [AdaptiveLimit] limits the requests in
// flight on one upstream when its latency shows that its slots exceed its
// capacity.
package limit
