package rig

import (
	"net"
	"os"
	"strconv"
)

// Ports for listeners are taken from below the range of the ports that the system
// gives to outgoing connections, so that a port stays free until it is used, and
// while an executor is down.
const (
	firstPort = 10_000
	portCount = 20_000
)

// Scripts that run at the same time begin at different ports.
var nextPort = firstPort + os.Getpid()*97%portCount

func localAddress(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// freePorts returns the first of n consecutive free ports on loopback. It returns
// no port twice.
func freePorts(n int) int {
	for range portCount {
		first := nextPort
		nextPort += n
		if nextPort > firstPort+portCount {
			nextPort = firstPort
			continue
		}
		free := true
		for i := range n {
			l, err := net.Listen("tcp4", localAddress(first+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
	cannotRun("no free ports")
	return 0
}
