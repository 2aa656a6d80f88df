package stream

import (
	"context"
	"time"

	"mimosadock/schedule/clock"
)

// Bounds of the backoff while the journal fails.
const (
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 500 * clock.Millisecond
)

// backoff doubles the wait after each failure, from minBackoff to maxBackoff.
// The zero value is ready to use.
type backoff struct{ last clock.Span }

// next returns the wait after another failure.
func (b *backoff) next() clock.Span {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last
}

// reset makes the next wait minBackoff. It is called after a success.
func (b *backoff) reset() { b.last = 0 }

// sleep waits for s. If ctx ends before, it returns the error of ctx.
func sleep(ctx context.Context, s clock.Span) error {
	if s <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(s.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
