// Package intake decides how many connections and how many bytes of requests a
// process accepts from clients that it does not control.
//
// A [Table] has a row for each connection of one listener. The connections share
// a bound on their number and a budget of bytes for all requests that are not
// answered yet. Bytes are reserved as they arrive: the length that a client claims
// reserves nothing.
//
// When connections or bytes are short, each client has a short time to send its request
// or to read its response. One that takes longer is overdue and gives up its place, so
// that clients that stop short or send a little at a time can't keep out others. New
// connections wait for a place in the order of their arrival. Otherwise a client that
// makes progress keeps its place, also a slow one.
//
// Rows are not grouped by the address of the client, since a load balancer may
// forward the connections of many clients from few addresses.
package intake
