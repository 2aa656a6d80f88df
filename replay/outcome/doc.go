// Package outcome compares measured figures with their bounds and prints the
// results.
//
// A line has the form "name value bound ok|SHORT", followed by the figures of
// the baselines. The bounds come from the targets of the design page.
package outcome
