// Package record encodes the records of the journal.
//
// One journal entry holds one or more records behind a header with a checksum. A
// record is a versioned CBOR envelope with an id, a writer, a kind and a body.
// Other packages define the body types; [Encode] and [Decode] convert between a
// body and a record. Decoding is bounded in size and depth. A damaged record or
// one of an unknown version or kind is returned with a [Fault] and doesn't
// prevent the decoding of the other records.
package record
