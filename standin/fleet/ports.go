package fleet

import (
	"errors"
	"net"
	"strconv"
)

// portTries is how many runs of ports are tried before FreePorts gives up.
const portTries = 100

// FreePorts returns the first of n loopback ports in a row that nothing listens
// on. Another program may take them before they are used.
func FreePorts(n int) (int, error) {
	for range portTries {
		first, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		held := []net.Listener{first}
		port := first.Addr().(*net.TCPAddr).Port
		for i := 1; i < n; i++ {
			l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+i)))
			if err != nil {
				break
			}
			held = append(held, l)
		}
		for _, l := range held {
			_ = l.Close() // held only to see that it is free
		}
		if len(held) == n {
			return port, nil
		}
	}
	return 0, errors.New("no free ports in a row")
}
