// Package admin is the administration interface: HTTP and JSON under /v1/ on
// the operator port.
//
// Operators may do everything. A team sees and changes only its own jobs and
// usage; what belongs to another team answers as if it did not exist. Bearer
// tokens are compared by their SHA-256 in constant time and are never logged
// or dumped. The handlers encode and check; what is done is behind [Backend].
package admin
