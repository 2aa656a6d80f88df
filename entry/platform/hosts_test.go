package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a failed or truncated response that is decoded as an empty
// list, as if the platform had removed all hosts.
func TestHostsList(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		rows   int
		fails  bool
	}{
		"two hosts": {status: 200, body: `[{"address":"127.0.0.1:1","state":1},{"address":"127.0.0.1:2"}]`, rows: 2},
		"empty":     {status: 200, body: `[]`},
		"refused":   {status: 503, body: `[]`, fails: true},
		"truncated": {status: 200, body: `[{"address":`, fails: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer srv.Close()
			rows, err := NewHosts(srv.Listener.Addr().String()).List(context.Background())
			is.Equal(err != nil, tc.fails)
			is.Equal(len(rows), tc.rows)
		})
	}
}
