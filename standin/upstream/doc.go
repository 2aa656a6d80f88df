// Package upstream simulates the upstreams of a service, which run its requests.
//
// An [Upstream] serves plain HTTP, counts concurrent requests and the runs of
// each request id, and can fail in the ways of [Mode]. A [Script] sends
// prepared bytes, including invalid HTTP.
package upstream
