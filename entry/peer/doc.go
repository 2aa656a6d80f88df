// Package peer carries messages between entry processes over gRPC with a CBOR
// codec.
//
// Every message is one unary call without an answer body. Messages may be lost,
// so the sender neither waits nor repeats: each address has a bounded queue and
// a full queue drops. The sender and the addressee travel as metadata. The
// target is always an IP number and a port; no name is resolved and no load is
// balanced here.
package peer
