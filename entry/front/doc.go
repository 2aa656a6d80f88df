// Package front is the HTTP interface towards callers.
//
// Requests to /s/{service}/... are streamed to an upstream of the service.
// Answers of the system's own carry the verdict in a header and in a JSON
// body.
package front
