// Package hosts simulates the platform's list of hosts, in process and over
// HTTP. The answers can be delayed by a lag, refused or empty.
package hosts
