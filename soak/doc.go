// Package soak plays days of faults on real scheduler processes.
//
// A day starts the processes as separate programs on a stand-in of the platform,
// lets callers submit, ask for and cancel jobs, and injects faults from outside:
// loopback proxies delay, reset, silence or cut connections one way; signals
// stop, pause, kill and restart processes; the store is down, slow or loses
// answers; executors crash, are born again and carry orders out late. Faults
// come in series and overlap. A [Ledger] checks the promises while it runs, from
// what callers and executors see. All choices follow from a seed.
//
// The days are tests: MIMOSA_SOAK_SEEDS=50 go test ./soak -run Days. They end
// only processes that they have started.
package soak
