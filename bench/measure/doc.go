// Package measure runs benchmarks and compares their figures with bounds.
//
// Allocations, operations, bytes and record counts have absolute bounds. Times
// have bounds only as ratios of two measurements of the same run, so that the
// result does not depend on the host.
package measure
