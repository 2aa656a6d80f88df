package stream

import (
	"context"
	"time"

	"mimosadock/schedule/clock"
)

// Waits between attempts while the journal fails.
const (
	minBackoff = 100 * clock.Millisecond
	maxBackoff = 500 * clock.Millisecond
)

// backoff doubles the wait from one failure to the next. The zero value is
// ready to use.
type backoff struct{ last clock.Span }

func (b *backoff) next() clock.Span {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last
}

func (b *backoff) reset() { b.last = 0 }

// sleep waits for the span or until ctx ends, whose error it returns.
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
