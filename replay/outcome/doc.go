// Package outcome compares measured figures with stated bounds and prints them.
//
// A line has the form "name value bound ok|SHORT", followed by the figures of
// the baselines. Bounds come from the targets of the design page.
package outcome
