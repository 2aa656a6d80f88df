package control

import (
	"context"

	"mimosadock/schedule/clock"
)

// query is the message that reads the tables for another goroutine.
type query[V any] struct {
	read  func(s *State, now clock.Millis) V
	reply chan V
}

// Apply sends the result of read.
func (q query[V]) Apply(s *State, now clock.Millis) { q.reply <- q.read(s, now) }

// Query runs read in the control goroutine and returns its result. The function
// must return copies and must not change the tables.
func Query[V any](ctx context.Context, l *Loop, read func(s *State, now clock.Millis) V) (V, error) {
	q := query[V]{read: read, reply: make(chan V, 1)}
	if err := l.Send(ctx, q); err != nil {
		var zero V
		return zero, err
	}
	select {
	case v := <-q.reply:
		return v, nil
	case <-ctx.Done():
		var zero V
		return zero, ctx.Err()
	}
}

// SendAndWait sends a message that replies over a channel, waits for the reply
// and returns it. The channel must have room for one value.
func SendAndWait[V any](ctx context.Context, l *Loop, m Message, reply <-chan V) (V, error) {
	var v V
	if err := l.Send(ctx, m); err != nil {
		return v, err
	}
	select {
	case v = <-reply:
		return v, nil
	case <-ctx.Done():
		return v, ctx.Err()
	}
}
