package upstream

import (
	"net/netip"
	"syscall"
)

// reservation keeps a port bound without listening on it, so that connections
// are refused and no other test gets the port meanwhile. The zero value keeps
// none.
type reservation struct{ fd int }

// reserve reserves the address, as far as the system allows it.
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

// release ends the reservation.
func (r *reservation) release() {
	if r.fd > 0 {
		syscall.Close(r.fd)
	}
	r.fd = 0
}
