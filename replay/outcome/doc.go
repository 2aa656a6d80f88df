// Package outcome compares measured figures with their bounds and prints the
// results.
//
// A line has the form "name value bound result", followed by further figures,
// such as those of the baselines. The result is "ok", or "SHORT" for a value that
// misses its bound, also for one above a maximum. The bounds come from the targets
// of the design page.
package outcome
