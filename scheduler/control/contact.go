package control

import (
	"sync/atomic"

	"mimosadock/schedule/clock"
)

// storeSilenceTimeout is how long the store gives this process no answer before it
// counts as silent. The long polls for the operator's requests are answered within
// 900 ms by a slow store.
const storeSilenceTimeout = 1500 * clock.Millisecond

// storeContact is when the store last answered this process. It is safe for
// concurrent use. Before the first answer the store does not count as silent.
type storeContact struct {
	answeredAt atomic.Int64 // in milliseconds of the clock of the process, 0 if never
}

// recordAnswer records an answer of the store.
func (s *storeContact) recordAnswer(now clock.Millis) { s.answeredAt.Store(max(1, int64(now))) }

// isSilent reports whether the store has not answered for storeSilenceTimeout.
func (s *storeContact) isSilent(now clock.Millis) bool {
	at := s.answeredAt.Load()
	return at > 0 && now.Sub(clock.Millis(at)) >= storeSilenceTimeout
}

// StoreSilent reports whether the store has stopped answering this process.
func (c *Control) StoreSilent() bool { return c.storeContact.isSilent(c.Clock.Now()) }
