// Package soak tests real scheduler processes under faults.
//
// A scenario starts several scheduler processes on a simulated platform.
// Callers submit, query and cancel jobs while faults are injected from outside:
// loopback proxies reset connections or drop data in one or both directions;
// signals stop, pause, kill and restart processes; the store is down, slow or
// loses answers; executors crash, restart, leave for new ones and execute
// orders late. Faults come in series and overlap; other scenarios have one kind of
// faults, or crowds of clients outside the limits, and cancel most jobs. Meanwhile a [Checker] checks
// the guarantees against the events that callers and executors observe. All
// choices follow from a seed. After the last fault, the checker also checks the
// bounds on the times until tasks of perpetual jobs run again and those of
// cancelled jobs end.
//
// The scenarios are tests: MIMOSA_SOAK_SEEDS=50 go test ./soak -run Days. They
// end only processes that they have started.
package soak
