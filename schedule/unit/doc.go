// Package unit defines the types of identifiers and quantities in the scheduler.
//
// Identifiers have distinct string types, so that the compiler rejects a host in
// place of an upstream. The type of a quantity determines its unit.
package unit
