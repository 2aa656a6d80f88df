// Package estimate estimates the size and run time of kinds of work, the
// slowdown that kinds cause each other, and the peak usage of latency-critical
// work. Its input consists of reports that arrive seconds after the
// measurement.
package estimate
