// Package front is the HTTP interface towards callers.
//
// Requests to /s/{service}/... are streamed to an upstream of the service.
// Answers of the system's own carry the verdict in a header and in a JSON
// body. Decisions are those of the schedule module; this package keeps the
// slots, queues and limits of the requests in flight and streams the bytes.
package front
