package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against one odd row that makes the whole list fail, so that no change of
// any host is followed, and against a host that is used by the values of an odd
// row.
func TestOddRowsOfTheHostsList(t *testing.T) {
	const good = `{"address":"127.0.0.1:1","host":"127.0.0.1","dataCentre":"a","rack":"r","role":2,"state":1,"service":"s","slots":8,"capacity":{"cpu":8000,"memory":16000}}`
	const huge = "9223372036854775807"
	for name, c := range map[string]struct {
		row  string
		rows int
	}{
		"good":                 {good, 2},
		"address only":         {`{"address":"127.0.0.1:1"}`, 2},
		"row of another type":  {`7`, 1},
		"null":                 {`null`, 1},
		"no address":           {`{}`, 1},
		"address, other type":  {strings.Replace(good, `"127.0.0.1:1"`, `7`, 1), 1},
		"address without port": {strings.Replace(good, `127.0.0.1:1`, `127.0.0.1`, 1), 1},
		"port 0":               {strings.Replace(good, `127.0.0.1:1`, `127.0.0.1:0`, 1), 1},
		"port 70000":           {strings.Replace(good, `127.0.0.1:1`, `127.0.0.1:70000`, 1), 1},
		"host name":            {strings.Replace(good, `127.0.0.1:1`, `x y:1`, 1), 1},
		"deeply nested":        {strings.Replace(good, `"127.0.0.1:1"`, strings.Repeat("[", 5000)+strings.Repeat("]", 5000), 1), 1},
		"unknown role":         {strings.Replace(good, `"role":2`, `"role":7`, 1), 1},
		"unknown state":        {strings.Replace(good, `"state":1`, `"state":-1`, 1), 1},
		"huge slots":           {strings.Replace(good, `"slots":8`, `"slots":`+huge, 1), 1},
		"slots out of range":   {strings.Replace(good, `"slots":8`, `"slots":`+huge+"0", 1), 1},
		"negative slots":       {strings.Replace(good, `"slots":8`, `"slots":-8`, 1), 1},
		"huge capacity":        {strings.Replace(good, `8000`, huge, 1), 1},
		"negative capacity":    {strings.Replace(good, `16000`, `-1`, 1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`[` + c.row + `,{"address":"127.0.0.1:2","slots":4}]`))
			}))
			defer srv.Close()
			rows, err := NewHosts(srv.Listener.Addr().String()).List(context.Background())
			is.NoErr(err)
			is.Equal(len(rows), c.rows)
			is.Equal(rows[len(rows)-1].Address, "127.0.0.1:2")
		})
	}
}
