// Package estimate estimates the size and run time of kinds of work, the
// slowdown that kinds cause each other, and the peak demand of
// latency-critical work. Its input consists of reports that lag behind.
package estimate
