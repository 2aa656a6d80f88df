// Package revision replays the configuration changes of a trace against package
// config in virtual time.
//
// Every process of a [Simulation] has its own [config.Register] and reads the
// records of package record from the simulated journal. Connected processes
// exchange their revisions with heartbeats.
package revision
