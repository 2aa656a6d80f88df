// Package peer carries messages between entry processes over gRPC with a CBOR
// codec.
//
// Each message is one unary call with an empty response. Messages may be lost:
// the sender neither waits for a response nor retries. Each address has a
// bounded queue, and messages to a full queue are dropped. The metadata of a
// call holds the sender and the addressee. The target is always an IP address
// and a port. There is no name resolution and no load balancing.
package peer
