// Package journal is a stand-in for the append-only log service of the
// platform, in process and over HTTP.
//
// Retention and failures are set at run time. [Handler] serves the journal;
// [Control] serves the switches and belongs on an operator port.
package journal
