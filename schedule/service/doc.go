// Package service parses the services text. This is the text in which operators
// declare data centres, teams, upstream sets, services and kinds of work, with
// the dependencies between them. Each accepted change of the text gets a revision.
//
// The text is YAML with camel-case fields. Parsing is strict: an unknown or
// duplicate field is an error. [Parse] returns either a complete, checked [Text]
// or a [Faults] value with the line, column and reason of each fault.
package service
