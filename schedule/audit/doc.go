// Package audit describes who did what through the administration interface.
//
// Entries are kept in the journal. Some of them are also commands that every
// process carries out when it reads them, such as the draining of a host.
package audit
