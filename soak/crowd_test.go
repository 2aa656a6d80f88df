package soak

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"time"
)

// Sizes of a crowd. Its bodies exceed the budget of a process without limits in its
// settings, which is 23 MiB.
const (
	crowdClients   = 150
	crowdBodySize  = 250_000 // bytes; the last ones are never sent
	crowdSendLimit = 2 * time.Second
)

// openCrowds makes crowds of clients submit large jobs at one process after the
// other. Most clients stop short of the end of the body and keep their connections.
func (s *scenario) openCrowds(r *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		p := s.randomProcess(r)
		conns := make([]net.Conn, 0, crowdClients)
		s.runFault("crowd of clients at "+p.name, time.Duration(1000+r.Intn(2000))*time.Millisecond, func() {
			for _, c := range conns {
				_ = c.Close() // the process may have closed it
			}
		}, func() {
			for n := range crowdClients {
				if c := openSubmission(p.callerAddress, n); c != nil {
					conns = append(conns, c)
				}
			}
		})
		time.Sleep(time.Duration(r.Intn(500)) * time.Millisecond)
	}
}

// openSubmission sends a submission that lacks its last bytes. It returns nil if the
// process accepts no connection.
func openSubmission(address string, n int) net.Conn {
	c, err := net.DialTimeout("tcp4", address, crowdSendLimit)
	if err != nil {
		return nil
	}
	_ = c.SetWriteDeadline(time.Now().Add(crowdSendLimit)) // a closed connection fails at the write
	_, _ = fmt.Fprintf(c, "POST /q/%016x HTTP/1.1\r\nHost: q.example\r\nContent-Length: %d\r\n\r\n%s",
		1<<60+n, crowdBodySize, `{"spec":"x",`+strings.Repeat(" ", crowdBodySize-100)) // a refusal ends the write
	return c
}
