// Package member records the instances of the entry process and the hosts that
// the platform lists.
//
// The platform's list lags behind the actual state. A host that the list marks
// as leaving gets no new work. A host that is missing from the list is checked
// and is removed only if it refuses connections.
package member
