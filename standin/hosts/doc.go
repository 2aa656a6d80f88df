// Package hosts is a stand-in for the platform's list of hosts, in process and
// over HTTP. The list can lag behind what was set and can be emptied.
package hosts
