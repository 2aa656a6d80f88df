// Package traffic replays the requests of a trace against the decision code of
// the request path in virtual time.
//
// A [Simulation] keeps entry processes, upstreams, requests and attempts in
// tables. Systems run over the tables in a fixed order once per [Step].
// A simulated upstream occupies a slot for the actual run time of a request in
// the trace. Messages take the delays of the trace. The processing time of entry
// processes is zero.
package traffic
