// Package audit defines the audit log of the administration interface.
//
// Each [Entry] is the body of a record in the journal. Some entries are also
// commands: every process that reads the entry of a drain drains the host.
package audit
