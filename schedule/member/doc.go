// Package member records the instances of the entry process and the hosts that
// the platform lists.
//
// An instance is one run of the entry process. It becomes a member in three
// steps: it appends a join record to the journal, it sends heartbeats with
// Introducing set, and another member acknowledges it. Until then it may not
// claim a tenure. [Acknowledge] states when a new member may be acknowledged.
// The founder needs no acknowledgement, because every member that joined before
// it has ended.
//
// Each heartbeat that is not partial carries a [Promise]: for
// tenure.Limits.QuickRight, the receiver has every claim and member that the
// sender has recorded. An owner that holds the promises of all members confirms
// its tenure without a read of the journal.
//
// The platform's list lags behind the actual state. A host that the list marks
// as leaving gets no new work. A host that is missing from the list is checked
// and is removed only if it refuses connections.
package member
