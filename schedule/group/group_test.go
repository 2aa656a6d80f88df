package group

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a failed goroutine that leaves the other goroutines of its group
// running.
func TestFailureStopsTheOthers(t *testing.T) {
	is := is.New(t)
	var g Group
	failure := errors.New("failure")
	g.Go("waits", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	g.Go("fails", func(context.Context) error { return failure })
	is.True(errors.Is(g.Wait(), failure))
	is.Equal(len(g.Running()), 0)
}
