// Package journal is a stand-in for the append-only log service of the
// platform, in process and over HTTP.
package journal
