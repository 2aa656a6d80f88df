// Package platform contains the HTTP clients for the list of hosts and for the
// workers of the platform, the system that runs the hosts.
//
// Each client implements an interface of the schedule module. An error of
// [Workers] has the verdict DidNotRun after a failed dial and MayHaveRun after a
// lost response. Errors of [Hosts] have no verdict.
package platform
