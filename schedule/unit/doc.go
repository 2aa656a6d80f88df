// Package unit defines the types of identifiers and quantities in the scheduler.
//
// Identifiers have distinct string types, so that the compiler rejects a host in
// place of an upstream. The type of a quantity determines its unit. The types
// are names and numbers and not the entities: a [Service] is the name of a
// service, and a [Wave] is the number of a maintenance wave.
package unit
