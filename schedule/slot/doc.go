// Package slot keeps the requests in flight on an upstream, summed over all
// entry processes, within the slots of the upstream.
//
// The owner of a data centre runs a [Granter], which grants slots to the entry
// processes for a limited time. Each entry process is a holder: its [Holder]
// stores the grants and reports its demand. A [Counter] holds the slots of one
// upstream for the request path.
//
// The slots of an upstream have two parts. Quick and slow say how soon a new
// owner may grant a slot again after a failure. Quick slots may be granted for
// tenure.Limits.QuickRight after the last confirmation of the tenure. Slow
// slots may be granted for the much longer tenure.Limits.SlowRight after it, so
// that an owner that reaches neither the journal nor its peers can go on; a new
// owner may have to wait that long for them. A pinned grant, or pin, is a slow
// slot that is reserved for one request until its deadline.
package slot
