// Package intake decides how many connections and how many bytes of requests a
// process accepts from clients that it does not control.
//
// A [Table] has a row for each connection of one listener. The connections share
// a bound on their number and a budget of bytes for all requests that are not
// answered yet. Bytes are reserved as they arrive: the length that a client claims
// reserves nothing. When connections or bytes are short, the client that has made
// no progress for longest gives up its place, so that a client that stops short of
// the end of its request can't keep out others. A client that makes progress keeps
// its place, also a slow one; then a new request is refused instead.
//
// Rows are not grouped by the address of the client, since a load balancer may
// forward the connections of many clients from few addresses.
package intake
