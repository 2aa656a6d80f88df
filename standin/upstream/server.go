package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"mimosadock/schedule/group"
)

// Server serves an [Upstream] on its own address. Use [Listen].
type Server struct {
	Upstream

	address     string
	group       group.Group
	mu          sync.Mutex
	http        *http.Server
	reservation reservation
}

// Listen returns an upstream that serves on a free loopback port.
func Listen() (*Server, error) {
	s := &Server{address: "127.0.0.1:0"}
	return s, s.Resume()
}

// Address returns "ip:port".
func (s *Server) Address() string { return s.address }

// Refuse closes all connections and refuses new ones until [Server.Resume].
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http.Close()
	s.reservation.reserve(s.address)
}

// Resume listens on the address, at first and again after [Server.Refuse].
func (s *Server) Resume() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reservation.release()
	s.address = l.Addr().String()
	srv := &http.Server{Handler: &s.Upstream}
	s.http = srv
	s.group.Go("upstream", func(context.Context) error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Close stops the server, waits until it has ended and returns its error.
func (s *Server) Close() error {
	s.Refuse()
	s.mu.Lock()
	s.reservation.release()
	s.mu.Unlock()
	return s.group.Wait()
}
