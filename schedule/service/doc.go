// Package service reads the services text: the one text with which operators
// say which services, kinds of work and teams there are, and what each depends
// on.
//
// The text is YAML in camel case and is read strictly: an unknown or doubled
// field is an error. [Parse] returns either a complete, checked [Text] or a
// [Faults] value that names line, column and reason of each fault.
package service
