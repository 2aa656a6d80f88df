package fleet

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against tests that play at the same time and reach each other's servers,
// because one gets an address that another one uses or will use again.
func TestReserveLoopback(t *testing.T) {
	taken, err := ReserveLoopback()
	is.New(t).NoErr(err)
	defer taken.Close()
	const free = "127.255.255.1"
	for name, tc := range map[string]struct {
		candidates []string
		want       string // empty for an error
	}{
		"free":           {[]string{free}, free},
		"taken, free":    {[]string{taken.IP(), taken.IP(), free}, free},
		"all are taken":  {[]string{taken.IP()}, ""},
		"free once more": {[]string{free}, free},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := -1
			l, err := reserveLoopback(func() string { n++; return tc.candidates[min(n, len(tc.candidates)-1)] })
			is.Equal(err == nil, tc.want != "")
			if err == nil {
				defer l.Close()
				is.Equal(l.IP(), tc.want)
			}
		})
	}
}

// Guards against a store or an executor outside of the reserved address.
func TestServersStayOnTheReservedAddress(t *testing.T) {
	host, err := ReserveLoopback()
	is.New(t).NoErr(err)
	defer host.Close()
	store := NewStoreAt(host.IP())
	defer store.Close()
	x := NewExecutor(store, "x", "s")
	defer x.Close()
	for name, address := range map[string]string{"store": store.Address(), "executor": x.server.Listener.Addr().String()} {
		t.Run(name, func(t *testing.T) {
			ip, _, err := net.SplitHostPort(address)
			is.New(t).NoErr(err)
			is.New(t).Equal(ip, host.IP())
		})
	}
}
