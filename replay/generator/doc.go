// Package generator makes traces from a seed.
//
// The recorded traces of the repository are synthetic: no production system
// was recorded, and their headers say so. The same scenario and seed give the
// same bytes.
package generator
