package rig

import (
	"net"
	"sync"
	"time"
)

// proxyMode says what a proxy does with the data of its connections.
type proxyMode int

const (
	forward     proxyMode = iota
	dropAnswers           // data from the target is discarded
	dropAll               // connections are accepted, and all data is discarded
)

// proxy forwards TCP connections on loopback to a target and can discard data.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func openProxy(target string) *proxy {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode changes the mode. Connections that lost data are reset when the proxy
// forwards again, like those of a host that comes back.
func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != forward {
		return
	}
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(in net.Conn) {
	p.track(in)
	defer func() { p.untrack(in); _ = in.Close() }()
	if p.current() == dropAll {
		b := make([]byte, 4096)
		for {
			if _, err := in.Read(b); err != nil {
				return
			}
		}
	}
	out, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		if p.current() == forward {
			return
		}
		// The host is silent: the connection stays open without an answer.
		b := make([]byte, 4096)
		for {
			if _, err := in.Read(b); err != nil {
				return
			}
		}
	}
	defer func() { _ = out.Close() }()
	done := make(chan bool)
	go func() {
		p.copy(out, in, false)
		_ = out.Close()
		close(done)
	}()
	p.copy(in, out, true)
	if p.current() == forward {
		_ = in.Close()
	}
	<-done
}

// copy copies data until one end closes. After the first data that it has
// discarded it discards the rest of the connection.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	b := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(b)
		m := p.current()
		lost = lost || m == dropAll || m == dropAnswers && answers
		if n > 0 && !lost {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
