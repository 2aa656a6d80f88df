// Package traffic replays the requests of a trace against the decision code of
// the request path in virtual time.
//
// A [World] keeps entry processes, upstreams, requests and attempts in tables;
// systems run over them in a fixed order once a [Step]. Upstreams are fakes
// that hold what they are given for the true run time of the trace; nothing
// else is modelled: entry processes take no time, and messages take the delays
// of the trace.
package traffic
