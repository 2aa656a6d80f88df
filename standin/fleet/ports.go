package fleet

import (
	"errors"
	"net"
	"strconv"
)

// maxPortAttempts bounds the port ranges that FreePorts tries.
const maxPortAttempts = 100

// FreePorts returns the first of n consecutive free TCP ports on loopback. The
// ports are not reserved: another program may bind them first.
func FreePorts(n int) (int, error) {
	for range maxPortAttempts {
		first, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		listeners := []net.Listener{first}
		port := first.Addr().(*net.TCPAddr).Port
		for i := 1; i < n; i++ {
			l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+i)))
			if err != nil {
				break
			}
			listeners = append(listeners, l)
		}
		for _, l := range listeners {
			_ = l.Close() // bound only to test that the port is free
		}
		if len(listeners) == n {
			return port, nil
		}
	}
	return 0, errors.New("no range of consecutive free ports found")
}
