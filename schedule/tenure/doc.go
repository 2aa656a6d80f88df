// Package tenure decides which entry process may grant the slots and place the
// tasks of a data centre, and until when. A tenure is the ownership of one data
// centre by one entry process, the owner, in one epoch.
//
// A claim in the journal starts a tenure. The first claim of an epoch in journal
// order wins. The rights of the owner expire unless it confirms them, so an
// owner that is paused or partitioned loses them by its own clock. It confirms
// them by a complete read of the journal or by the promises of all other
// members; see [member.Promise].
//
// The functions decide from tables and an instant. They send and encode nothing.
package tenure
