package control

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/group"
)

// Guards against a call to the store that waits for its own timeout although the
// store answers again, and against copies that pile up while it does not.
func TestHedgedCall(t *testing.T) {
	errDown := errors.New("store is down")
	for name, c := range map[string]struct {
		answered int32 // number of the first call that is answered
		err      error
	}{
		"answered":             {1, nil},
		"refused":              {1, errDown},
		"first answer is lost": {2, nil},
		"three are lost":       {4, nil},
		"copy is refused":      {2, errDown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := group.New(t.Context())
			var calls, inFlight, most atomic.Int32
			h := hedgedCall[int32]{g, time.Millisecond, func(ctx context.Context) (int32, error) {
				defer inFlight.Add(-1)
				n := calls.Add(1)
				most.Store(max(most.Load(), inFlight.Add(1)))
				if n >= c.answered {
					return n, c.err
				}
				<-ctx.Done()
				return 0, ctx.Err()
			}}
			n, err := h.do(t.Context())
			is.True(n >= c.answered)
			is.Equal(err, c.err)
			g.Stop()
			is.NoErr(g.Wait())
			is.True(most.Load() <= 3) // the call, its newest copy, and one that is being cancelled
		})
	}
}

// Guards against a call that outlives its context.
func TestHedgedCallEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	g := group.New(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	h := hedgedCall[int]{g, time.Hour, func(ctx context.Context) (int, error) {
		cancel()
		<-ctx.Done()
		return 0, ctx.Err()
	}}
	_, err := h.do(ctx)
	is.True(errors.Is(err, context.Canceled))
	g.Stop()
	is.NoErr(g.Wait())
}
