package intake

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Limits bound what the clients of a listener use. MaxPause and Grace of 0 turn
// their checks off. The last three apply while connections or bytes are short.
type Limits struct {
	Connections int        // open connections
	Bytes       unit.Bytes // of all requests that are not answered
	SmallBytes  unit.Bytes // part of Bytes that only small requests may use
	Small       unit.Bytes // size up to which a request is small

	Grace    clock.Span // time from the start of a header or body from which MinRate applies
	MinRate  unit.Bytes // average bytes per second of a header or body
	MaxPause clock.Span // longest time without progress

	ShortGrace clock.Span // time to send a request, to read a response or to begin the next request
	ShortRate  unit.Bytes // bytes per second that a client has besides ShortGrace; 0 gives no time for bytes
	MaxWait    clock.Span // longest time in which no place becomes free for a new connection; 0 refuses it at once
}

// Defaults of the limits of progress. A caller waits for a response for at most
// 20 s, and a body of 256 KiB at DefaultMinRate takes over a minute, so that only
// clients that nobody waits for are cut off.
const (
	DefaultGrace    = 5 * clock.Second
	DefaultMinRate  = 4 << 10 // bytes per second
	DefaultMaxPause = 10 * clock.Second
	// DefaultShortGrace is a round trip between continents and the retransmission of a
	// lost packet.
	DefaultShortGrace = 400 * clock.Millisecond
	// DefaultShortRate gives the largest body, of 256 KiB, a second.
	DefaultShortRate = 256 << 10 // bytes per second
	// DefaultMaxWait is below the timeouts of callers, which are 2 s and more, so that
	// they can retry elsewhere.
	DefaultMaxWait = clock.Second
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

	peerGrace     = clock.Second            // exceeds the interval between messages of a process that is in use
	operatorGrace = 100 * clock.Millisecond // a round trip within a region
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

// Peers returns the limits of the listener for other processes of the system. Their
// connections have no requests of their own, and each may be idle for a while.
func (h Host) Peers() Limits {
	l := h.limits(peerSockets)
	l.ShortGrace, l.MaxWait = peerGrace, 0
	return l
}

// Operators returns the limits of a listener for operators or for checks of the
// platform. Their requests have no bodies, and they are close by.
func (h Host) Operators() Limits {
	l := h.limits(operatorSockets)
	l.ShortGrace = operatorGrace
	return l
}

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
		Grace: DefaultGrace, MinRate: DefaultMinRate, MaxPause: DefaultMaxPause,
		ShortGrace: DefaultShortGrace, ShortRate: DefaultShortRate, MaxWait: DefaultMaxWait,
	}
}
