// Package tenure decides which entry process may grant the slots and place the
// tasks of a data centre, and until when. A tenure is the ownership of one data
// centre by one entry process, the owner, in one epoch.
//
// A claim in the journal starts a tenure. The first claim of an epoch in journal
// order wins. The owner has two rights. The quick right allows it to grant quick
// slots and to accept new jobs. The slow right, which lasts much longer, allows
// it to grant slow slots and to start and renew attempts of accepted jobs. Each
// right lasts for a fixed time after the last confirmation of the tenure; see
// [Limits]. An owner that is paused or partitioned therefore loses them by its
// own clock. It confirms the tenure by a complete read of the journal or by the
// promises of all other members; see [member.Promise].
//
// The functions decide from tables and an instant. They send and encode nothing.
package tenure
