// Package audit defines the audit log of the administration interface.
//
// The journal stores the entries. Some entries are also commands, such as the
// draining of a host, which every process executes when it reads them.
package audit
