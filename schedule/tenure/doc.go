// Package tenure decides which entry process may grant the slots and place the
// tasks of a data centre, and until when.
//
// A claim in the journal starts a tenure; the first claim of an epoch in
// journal order wins. The owner's rights end by time unless it confirms them,
// so an owner that is paused or cut off loses them by its own clock. Every
// function here is a decision over tables and an instant; nothing is sent or
// encoded.
package tenure
