package group

import (
	"context"
	"fmt"
	"maps"
	"sync"
)

// Group is a set of goroutines with a common context. The zero value is ready to
// use and derives its context from the background context.
type Group struct {
	once    sync.Once
	ctx     context.Context
	cancel  context.CancelCauseFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	running map[string]int
	err     error
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	g := &Group{}
	g.init(ctx)
	return g
}

func (g *Group) init(ctx context.Context) {
	g.once.Do(func() {
		g.ctx, g.cancel = context.WithCancelCause(ctx)
		g.running = make(map[string]int)
	})
}

// Context returns the context of the group. It is cancelled when a goroutine
// fails or [Group.Stop] is called.
func (g *Group) Context() context.Context {
	g.init(context.Background())
	return g.ctx
}

// Go runs f in a new goroutine with the given name, which need not be unique. A
// non-nil error from f cancels the context of the group. [Group.Wait] returns
// the first such error, prefixed with the name.
func (g *Group) Go(name string, f func(context.Context) error) {
	g.init(context.Background())
	g.adjustRunning(name, 1)
	g.wg.Go(func() {
		defer g.adjustRunning(name, -1)
		if err := f(g.ctx); err != nil {
			g.fail(fmt.Errorf("%s: %w", name, err))
		}
	})
}

// adjustRunning adds n to the number of running goroutines with the given name.
func (g *Group) adjustRunning(name string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[name] += n
	if g.running[name] == 0 {
		delete(g.running, name)
	}
}

// fail stores the first error and cancels the context of the group.
func (g *Group) fail(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.mu.Unlock()
	g.cancel(err)
}

// Stop cancels the context of the group. It doesn't wait for the goroutines.
func (g *Group) Stop() {
	g.init(context.Background())
	g.cancel(context.Canceled)
}

// Wait waits until all goroutines have ended and returns the first error, or nil.
func (g *Group) Wait() error {
	g.init(context.Background())
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// Running returns the number of running goroutines by name.
func (g *Group) Running() map[string]int {
	g.init(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.running)
}
