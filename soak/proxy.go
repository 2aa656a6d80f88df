package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"mimosadock/schedule/group"
	"mimosadock/standin/fleet"
)

// Proxy forwards TCP connections on loopback and can inject faults. Use
// [OpenProxy].
type Proxy struct {
	listener net.Listener
	group    *group.Group

	mu          sync.Mutex
	target      string
	conns       map[net.Conn]bool // with true for those of clients
	dropFrom    int               // process whose data is dropped in both directions, 0 for none
	dropped     map[net.Conn]bool // connections of that process
	delay       time.Duration     // added to each read of data
	dropAll     bool              // drops the data of both directions
	dropAnswers bool              // drops the data from the target
}

// OpenProxy starts a proxy that forwards to the target address. It listens on a
// free port of the same IP.
func OpenProxy(target string) (*Proxy, error) {
	l, err := fleet.ListenBeside(target)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, group: new(group.Group), conns: make(map[net.Conn]bool)}
	p.group.Go("accept", p.accept)
	return p, nil
}

// Address returns the address of the proxy as "ip:port".
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // a second close changes nothing
	p.Reset()
	_ = p.group.Wait() // copying ends with the connections
}

// SetTarget sets the address to which later connections are forwarded. Without an
// address, they are closed.
func (p *Proxy) SetTarget(address string) { p.withLock(func() { p.target = address }) }

// SetDelay sets the delay of all data. Zero means no delay.
func (p *Proxy) SetDelay(d time.Duration) { p.withLock(func() { p.delay = d }) }

// SetDropAll sets whether all data is dropped. Connections are not reset.
func (p *Proxy) SetDropAll(on bool) { p.withLock(func() { p.dropAll = on }) }

// SetDropAnswers sets whether the data from the target is dropped.
func (p *Proxy) SetDropAnswers(on bool) { p.withLock(func() { p.dropAnswers = on }) }

// SetDropFrom drops the data of the connections of a process of this machine, of
// both directions.
func (p *Proxy) SetDropFrom(pid int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropFrom, p.dropped = pid, make(map[net.Conn]bool)
	for c := range p.conns {
		p.dropped[c] = p.conns[c] && ownsSocket(pid, c.RemoteAddr(), p.listener.Addr())
	}
}

// ClearFaults ends all faults. Connections that lost data stay open and forward
// nothing until they are reset.
func (p *Proxy) ClearFaults() {
	p.withLock(func() { p.delay, p.dropAll, p.dropAnswers, p.dropFrom = 0, false, false, 0 })
}

// withLock calls f with the lock held.
func (p *Proxy) withLock(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close() // the other end detects it
	}
}

func (p *Proxy) accept(context.Context) error {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		p.group.Go("connection", func(context.Context) error {
			p.serve(c)
			return nil
		})
	}
}

func (p *Proxy) serve(in net.Conn) {
	var target string
	p.withLock(func() { target = p.target })
	if target == "" {
		_ = in.Close() // the client detects it
		return
	}
	out, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		_ = in.Close() // the client detects it
		return
	}
	p.withLock(func() {
		p.conns[in], p.conns[out] = true, false
		if p.dropFrom != 0 {
			p.dropped[in] = ownsSocket(p.dropFrom, in.RemoteAddr(), p.listener.Addr())
		}
	})
	defer p.withLock(func() { delete(p.conns, in); delete(p.conns, out) })
	var g group.Group
	g.Go("requests", func(context.Context) error { p.copy(out, in, in, false); return nil })
	g.Go("answers", func(context.Context) error { p.copy(in, out, in, true); return nil })
	_ = g.Wait() // copying returns no error
}

// copy copies data of a client until one end closes. Once it has dropped data, it
// drops all later data of the connection too, because the receiver cannot detect a
// gap in the byte stream.
func (p *Proxy) copy(to, from, client net.Conn, answers bool) {
	defer func() { _ = to.Close(); _ = from.Close() }() // both ends are done
	b := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(b)
		var delay time.Duration
		p.withLock(func() {
			delay = p.delay
			dropped = dropped || p.dropAll || p.dropAnswers && answers || p.dropFrom != 0 && p.dropped[client]
		})
		time.Sleep(delay)
		if n > 0 && !dropped {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
