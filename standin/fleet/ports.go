package fleet

import (
	"errors"
	"net"
	"strconv"
)

// maxPortAttempts is how many runs of ports are tried before FreePorts gives up.
const maxPortAttempts = 100

// FreePorts returns the first of n loopback ports in a row that nothing listens
// on. Another program may take them before they are used.
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
			_ = l.Close() // held only to see that it is free
		}
		if len(listeners) == n {
			return port, nil
		}
	}
	return 0, errors.New("no free ports in a row")
}
