package control

import (
	"time"

	"mimosadock/schedule/clock"
)

// busyReportInterval is the interval between two lines in the log with the load of
// the control goroutine.
const busyReportInterval = 3 * clock.Second

// busyMeter measures the share of time in which the control goroutine works. The
// zero value is ready to use.
type busyMeter struct {
	loggedAt clock.Millis
	rounds   int64
	busy     time.Duration // since loggedAt
	longest  time.Duration // round since loggedAt
}

// finishRound adds a round that began at start. While the process owns shards, it
// logs the load at busyReportInterval: a share near 1 means that answers of executors
// wait, which shows as longer runs and waits of all queues.
func (c *Control) finishRound(start time.Time) {
	m, took := &c.busy, time.Since(start)
	m.rounds, m.busy, m.longest = m.rounds+1, m.busy+took, max(m.longest, took)
	c.Counters.BusyMicros.Add(took.Microseconds())
	now := c.Clock.Now()
	if now < m.loggedAt.Add(busyReportInterval) {
		return
	}
	if len(c.owned) > 0 && m.loggedAt > 0 {
		c.EventLog.LogChange("control load", "ofMs", int64(now.Sub(m.loggedAt)), "busyMs", m.busy.Milliseconds(), "rounds", m.rounds,
			"longestMs", m.longest.Milliseconds(), "queuedMessages", len(c.messages))
	}
	*m = busyMeter{loggedAt: now}
}
