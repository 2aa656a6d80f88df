package group

import (
	"context"
	"fmt"
	"maps"
	"sync"
)

// Group is a set of goroutines. The zero value is ready to use and has a
// background context.
type Group struct {
	once    sync.Once
	ctx     context.Context
	cancel  context.CancelCauseFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	running map[string]int
	err     error
}

// New returns a group whose goroutines are told to stop when ctx ends.
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

// Context returns the context that ends when a goroutine fails or [Group.Stop]
// is called.
func (g *Group) Context() context.Context {
	g.init(context.Background())
	return g.ctx
}

// Go runs f in a goroutine under the given name. A non-nil error from f stops
// the group; the first such error is kept for [Group.Wait].
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

func (g *Group) adjustRunning(name string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[name] += n
	if g.running[name] == 0 {
		delete(g.running, name)
	}
}

func (g *Group) fail(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.mu.Unlock()
	g.cancel(err)
}

// Stop ends the context of the group.
func (g *Group) Stop() {
	g.init(context.Background())
	g.cancel(context.Canceled)
}

// Wait waits for all goroutines and returns the first error of any of them.
func (g *Group) Wait() error {
	g.init(context.Background())
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// Running returns how many goroutines run under each name.
func (g *Group) Running() map[string]int {
	g.init(context.Background())
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.running)
}
