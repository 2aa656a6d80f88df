// Package service parses the services text, in which operators configure data
// centres, teams, upstream sets, services and kinds of work, with the
// dependencies between them.
//
// The text is YAML with camel-case fields. Parsing is strict: an unknown or
// duplicate field is an error. [Parse] returns either a complete, checked [Text]
// or a [Faults] value with the line, column and reason of each fault.
package service
