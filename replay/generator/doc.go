// Package generator generates traces from a seed.
//
// The traces in the repository are synthetic. No production system was
// recorded, as the headers of the traces state. The same scenario and seed give
// the same bytes.
package generator
