package fleet

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestOrdersForAnotherExecutorAreRefused guards against an executor that carries
// out the orders for one that had its address before.
func TestOrdersForAnotherExecutorAreRefused(t *testing.T) {
	store := NewStore()
	defer store.Close()
	x := NewExecutor(store, "i-1", "s")
	defer x.Close()
	for name, c := range map[string]struct {
		target string
		status int
	}{
		"this executor":    {"i-1", http.StatusOK},
		"another executor": {"i-2", http.StatusMisdirectedRequest},
		"none":             {"", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(http.MethodPost, x.server.URL+"/-/hold", strings.NewReader(`{"fencing_token":1}`))
			is.NoErr(err)
			if c.target != "" {
				req.Header.Set(targetHeader, c.target)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, c.status)
		})
	}
}
