package fleet

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
)

const (
	// firstPort is below the ports that the system chooses by itself, so that no
	// other listener gets the port of a process that is down.
	firstPort              = 20000
	maxReservationAttempts = 100
)

// Loopback is a loopback address that only its holder uses: two tests of one or of
// several programs never hold the same one. Use [ReserveLoopback].
type Loopback struct {
	ip          string
	reservation net.Listener // keeps others from reserving the address
}

// ReserveLoopback reserves a random loopback address until Close.
func ReserveLoopback() (*Loopback, error) {
	return reserveLoopback(func() string {
		return fmt.Sprintf("127.%d.%d.%d", 1+rand.Intn(254), rand.Intn(256), 1+rand.Intn(254))
	})
}

// reserveLoopback reserves the first candidate that nobody has reserved.
func reserveLoopback(candidate func() string) (*Loopback, error) {
	for range maxReservationAttempts {
		ip := candidate()
		if l, err := net.Listen("tcp4", addressAt(ip, firstPort)); err == nil {
			return &Loopback{ip: ip, reservation: l}, nil
		}
	}
	return nil, errors.New("no free loopback address found")
}

// IP returns the address without a port.
func (l *Loopback) IP() string { return l.ip }

// Port returns the nth port of the address for programs that need a fixed one,
// from 0 on.
func (l *Loopback) Port(n int) int { return firstPort + 1 + n }

// Address returns the address with its nth port, as "ip:port".
func (l *Loopback) Address(n int) string { return addressAt(l.ip, l.Port(n)) }

// Close ends the reservation.
func (l *Loopback) Close() { _ = l.reservation.Close() } // a second close changes nothing

func addressAt(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// ListenBeside listens on a free port of the IP of an address.
func ListenBeside(address string) (net.Listener, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp4", addressAt(ip, 0))
}

// serveOn starts a server on a listener.
func serveOn(l net.Listener, handler http.Handler) *httptest.Server {
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: handler}}
	s.Start()
	return s
}
