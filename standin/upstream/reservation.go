package upstream

import (
	"net/netip"
	"syscall"
)

// reservation keeps a port bound without listening on it. Connections to the
// port are refused and no other test can bind it. The zero value reserves no
// port.
type reservation struct{ fd int }

// reserve binds the address "ip:port" in place of a previous one. It reserves
// nothing if the address is not IPv4 or the system refuses to bind it.
func (r *reservation) reserve(address string) {
	r.release()
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return
	}
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()})
	}
	if err != nil {
		syscall.Close(fd)
		return
	}
	r.fd = fd
}

// release ends the reservation, if there is one.
func (r *reservation) release() {
	if r.fd > 0 {
		syscall.Close(r.fd)
	}
	r.fd = 0
}
