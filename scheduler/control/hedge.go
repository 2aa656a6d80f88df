package control

import (
	"context"
	"time"

	"mimosadock/schedule/group"
)

// hedgeDelay is how long a call to the store has no answer before a copy of it is
// sent. It is above the 300 ms within which a slow store answers.
const hedgeDelay = 450 * time.Millisecond

// hedgedCall sends copies of an idempotent call while it has no answer (hedged
// requests; J. Dean and L. Barroso, "The Tail at Scale", Communications of the
// ACM 56, 2013). After an outage in which packets were lost, a new copy is answered
// at once, while the call itself waits for a retransmission that has backed off, or
// for its timeout. At most two are in flight: the call, which a store that answers
// late completes, and its newest copy.
type hedgedCall[Result any] struct {
	group *group.Group
	delay time.Duration // between two copies
	call  func(context.Context) (Result, error)
}

// do returns the first result, which may be an error. It returns once the call
// itself or a copy that is not replaced has a result, or ctx ends and call returns.
func (h hedgedCall[Result]) do(ctx context.Context) (Result, error) {
	type outcome struct {
		result Result
		err    error
	}
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	send := func() (<-chan outcome, context.CancelFunc) {
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan outcome, 1)
		h.group.Go("hedged call", func(context.Context) error {
			defer cancel()
			result, err := h.call(ctx)
			done <- outcome{result, err}
			return nil
		})
		return done, cancel
	}
	first, _ := send()
	var newest <-chan outcome
	cancelNewest := func() {}
	timer := time.NewTimer(h.delay)
	defer timer.Stop()
	for {
		select {
		case o := <-first:
			return o.result, o.err
		case o := <-newest:
			return o.result, o.err
		case <-timer.C:
			cancelNewest()
			newest, cancelNewest = send()
			timer.Reset(h.delay)
		}
	}
}
