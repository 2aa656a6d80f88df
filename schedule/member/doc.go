// Package member keeps track of the instances of the system and of the hosts
// that the platform lists.
//
// The platform's list lags. A host that it marks as leaving gets no new work;
// a host that is missing from it is checked, not dropped.
package member
