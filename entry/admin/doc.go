// Package admin serves the administration interface: HTTP and JSON under /v1/ on
// the operator address.
//
// Operators may use all of it. A team may read and change only its own jobs and
// read its own services and usage. A resource of another team is reported as not
// found. Bearer tokens are compared by their SHA-256 in constant time and are
// never logged or dumped. The handlers authenticate, decode, check and encode. A
// [Backend] carries the requests out.
package admin
