// Package front implements the HTTP interface for callers.
//
// It forwards requests to /s/{service}/... to an upstream of the service and
// streams the request and response bodies. Responses that the system generates
// itself carry the verdict in a header and in a JSON body. The schedule module
// makes the decisions. This package tracks the slots, queues and limits of the
// requests in flight and copies the bytes.
package front
