// Package record encodes the records of the journal.
//
// One journal entry carries a group of records behind a checksum. A record is
// a versioned CBOR envelope with an id, a writer, a kind and a body. The body
// types belong to the packages that own them; [Encode] and [Decode] convert
// between a body and a record. Decoding is bounded in size and depth. Records
// of an unknown version or kind and damaged ones are returned with a [Fault]
// and never stop the records beside them.
package record
