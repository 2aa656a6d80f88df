package soak

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/group"
	"mimosadock/standin/fleet"
)

// Guards against a fault between one process and an executor that has no effect,
// or that affects other processes too.
func TestDropFrom(t *testing.T) {
	for name, tc := range map[string]struct {
		pid       int
		connected bool // before the fault begins
		want      string
	}{
		"other process":                   {os.Getppid(), false, "x"},
		"other process, connected before": {os.Getppid(), true, "x"},
		"this process":                    {os.Getpid(), false, ""},
		"this process, connected before":  {os.Getpid(), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			echo, err := fleet.ListenBeside("127.0.0.1:0")
			is.NoErr(err)
			defer echo.Close() //nolint:errcheck // ends the echo
			var g group.Group
			g.Go("echo", func(context.Context) error {
				c, err := echo.Accept()
				if err == nil {
					_, _ = io.Copy(c, c) // ends with the connection
				}
				return nil
			})
			p, err := OpenProxy(echo.Addr().String())
			is.NoErr(err)
			defer p.Close()
			if !tc.connected {
				p.SetDropFrom(tc.pid)
			}
			c, err := net.Dial("tcp4", p.Address())
			is.NoErr(err)
			defer c.Close() //nolint:errcheck // the test has read the answer
			if tc.connected {
				time.Sleep(100 * time.Millisecond) // until the proxy has accepted
				p.SetDropFrom(tc.pid)
			}
			_, err = c.Write([]byte("x"))
			is.NoErr(err)
			is.NoErr(c.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
			b := make([]byte, 1)
			n, _ := c.Read(b) // an error is expected if the data is dropped
			is.Equal(string(b[:n]), tc.want)
		})
	}
}
