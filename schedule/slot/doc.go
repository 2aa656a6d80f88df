// Package slot keeps the requests in flight on an upstream within its slots,
// over all entry processes.
//
// The owner of a data centre grants slots to entry processes for a limited
// time. A [Counter] is the part of a grant that the request path uses.
package slot
