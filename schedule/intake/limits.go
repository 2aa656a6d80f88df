package intake

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Limits bound what the clients of a listener use. MaxPause and Grace of 0 turn
// their checks off.
type Limits struct {
	Connections int        // open connections
	Bytes       unit.Bytes // of all requests that are not answered
	SmallBytes  unit.Bytes // part of Bytes that only small requests may use
	Small       unit.Bytes // size up to which a request is small

	Grace    clock.Span // time from the start of a header or body from which MinRate applies
	MinRate  unit.Bytes // average bytes per second of a header or body
	MaxPause clock.Span // longest time without progress
	MinPause clock.Span // time without progress from which others may take the place
}

// Defaults of the limits of progress. A caller waits for a response for at most
// 20 s, and a body of 256 KiB at DefaultMinRate takes over a minute, so that only
// clients that nobody waits for are cut off.
const (
	DefaultGrace    = 5 * clock.Second
	DefaultMinRate  = 4 << 10 // bytes per second
	DefaultMaxPause = 10 * clock.Second
	// DefaultMinPause exceeds the retransmission timeout of a lost packet.
	DefaultMinPause = clock.Second
)

// Defaults of a host whose settings have no limits.
const (
	DefaultMemory      unit.MiB = 184
	DefaultDescriptors          = 4096
)

const (
	fileDescriptors = 200 // the platform reserves them for files

	// Shares of the sockets. The rest is for connections to executors, other
	// processes and the store.
	callerSockets   = 4
	peerSockets     = 8
	operatorSockets = 32

	memoryShare     = 8        // of the memory of the host for requests, and again for connections
	connectionBytes = 24 << 10 // memory of an idle connection: its stack, buffers and bookkeeping
	smallShare      = 4        // of the bytes that only small requests may use
	small           = 16 << 10 // size up to which a request is small; the payload of a job has at most 4,000 bytes
	minConnections  = 8
)

// Host has the limits of the host of a process.
type Host struct {
	Memory      unit.MiB // 0 is DefaultMemory
	Descriptors int      // 0 is DefaultDescriptors
}

// Callers returns the limits of the listener for callers.
func (h Host) Callers() Limits {
	l := h.limits(callerSockets)
	l.Bytes = h.bytes() / memoryShare
	l.SmallBytes = l.Bytes / smallShare
	l.Connections = max(minConnections, min(l.Connections, int(l.Bytes/connectionBytes)))
	return l
}

// Peers returns the limits of the listener for other processes of the system.
func (h Host) Peers() Limits { return h.limits(peerSockets) }

// Operators returns the limits of a listener for operators or for checks of the
// platform. Their requests have no bodies.
func (h Host) Operators() Limits { return h.limits(operatorSockets) }

func (h Host) bytes() unit.Bytes {
	m := h.Memory
	if m <= 0 {
		m = DefaultMemory
	}
	return unit.Bytes(m) << 20
}

// limits returns limits whose connections are a share of the sockets and whose
// bytes suffice for a small request on each.
func (h Host) limits(share int) Limits {
	d := h.Descriptors
	if d <= 0 {
		d = DefaultDescriptors
	}
	n := max(minConnections, (d-fileDescriptors)/share)
	return Limits{
		Connections: n, Bytes: unit.Bytes(n) * small, Small: small,
		Grace: DefaultGrace, MinRate: DefaultMinRate, MaxPause: DefaultMaxPause, MinPause: DefaultMinPause,
	}
}
