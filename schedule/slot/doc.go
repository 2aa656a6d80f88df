// Package slot keeps the requests in flight on an upstream, summed over all
// entry processes, within the slots of the upstream.
//
// The owner of a data centre runs a [Granter], which grants slots to the entry
// processes for a limited time. Each entry process is a holder: its [Holder]
// stores the grants and reports its demand. A [Counter] holds the slots of one
// upstream for the request path.
//
// The slots of an upstream have two parts. Quick slots may be granted only
// while the tenure of the owner was confirmed recently, so a new owner can
// grant them soon after a failure. Slow slots may be granted until the much
// longer isolation bound, so an owner without a connection can go on; a new
// owner may have to wait that long for them. A pinned grant, or pin, is a slow
// slot that is reserved for one request until its deadline.
package slot
