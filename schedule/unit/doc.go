// Package unit names the identifiers and quantities of the scheduler.
//
// Identifiers are distinct string types, so that a host can't be passed where
// an upstream is expected. Quantities carry their unit in the type.
package unit
