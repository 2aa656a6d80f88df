package target

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against load that goes to another host, which happens if New accepts an
// address that is not a loopback address.
func TestNewAcceptsLoopbackOnly(t *testing.T) {
	tests := map[string]struct {
		addresses []string
		ok        bool
	}{
		"none":            {addresses: nil},
		"loopback":        {addresses: []string{"127.0.0.1:80", "127.8.0.1:80", "[::1]:80"}, ok: true},
		"mapped loopback": {addresses: []string{"[::ffff:127.0.0.1]:80"}, ok: true},
		"other host":      {addresses: []string{"127.0.0.1:80", "10.0.0.1:80"}},
		"any address":     {addresses: []string{"0.0.0.0:80"}},
		"mapped other":    {addresses: []string{"[::ffff:10.0.0.1]:80"}},
		"name":            {addresses: []string{"localhost:80"}},
		"no port":         {addresses: []string{"127.0.0.1"}},
		"port zero":       {addresses: []string{"127.0.0.1:0"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := New(tc.addresses)
			is.Equal(err == nil, tc.ok)
			if err == nil {
				first := r.Next()
				for range r.Len() - 1 {
					is.True(r.Next() != first)
				}
				is.Equal(r.Next(), first)
			}
		})
	}
}

// Guards against load on a process that reports that it is not ready, or that
// does not answer.
func TestNextSkipsUnreadyTargets(t *testing.T) {
	is := is.New(t)
	status := func(code int) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }))
	}
	ready, draining, gone := status(http.StatusOK), status(http.StatusServiceUnavailable), status(http.StatusOK)
	gone.Close()
	defer ready.Close()
	defer draining.Close()
	r, err := New([]string{draining.Listener.Addr().String(), ready.Listener.Addr().String(), gone.Listener.Addr().String()})
	is.NoErr(err)
	is.Equal(r.ReadyCount(), 3)
	r.Poll(context.Background())
	is.Equal(r.ReadyCount(), 1)
	for range 5 {
		is.Equal(r.Next().String(), ready.Listener.Addr().String())
	}
}
