package process

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"mimosadock/scheduler/control"
)

// Limits of the log.
const (
	maxQueuedLines        = 1024 // further lines are dropped and counted
	maxDecisionsPerSecond = 400  // changes are not limited
)

// EventLog writes log lines in its own goroutine. If its queue is full it drops
// lines instead of blocking. Use [NewJournal] to create one.
type EventLog struct {
	logger         *log.Logger
	lines          chan line
	dropped        atomic.Int64
	decisionBudget atomic.Int64 // decisions that may still be logged in this second
}

// line is a queued log line.
type line struct {
	at      time.Time
	message string
	fields  []any
}

var _ control.EventLog = (*EventLog)(nil)

// NewEventLog returns an event log that writes lines of the given level and above to
// w. [EventLog.Run] must run for lines to be written.
func NewEventLog(w io.Writer, level log.Level) *EventLog {
	j := &EventLog{
		logger: log.NewWithOptions(w, log.Options{Level: level, Formatter: log.LogfmtFormatter}),
		lines:  make(chan line, maxQueuedLines),
	}
	j.decisionBudget.Store(maxDecisionsPerSecond)
	return j
}

// Change logs a change of the process's state or a failure.
func (j *EventLog) Change(kind string, fields ...any) { j.enqueue(kind, fields) }

// Decision logs a decision about one request or run. It drops the line if the
// limit of decisions per second is reached.
func (j *EventLog) Decision(kind string, fields ...any) {
	if j.logger.GetLevel() > log.InfoLevel {
		return
	}
	if j.decisionBudget.Add(-1) < 0 {
		j.dropped.Add(1)
		return
	}
	j.enqueue(kind, fields)
}

// enqueue queues a line, or drops and counts it if the queue is full.
func (j *EventLog) enqueue(kind string, fields []any) {
	select {
	case j.lines <- line{time.Now(), kind, fields}:
	default:
		j.dropped.Add(1)
	}
}

// Run writes lines until ctx ends, and then the lines that are still queued. Once
// a second it logs the number of dropped lines, if any.
func (j *EventLog) Run(ctx context.Context) error {
	refill := time.NewTicker(time.Second)
	defer refill.Stop()
	for {
		select {
		case l := <-j.lines:
			j.write(l)
		case <-refill.C:
			j.decisionBudget.Store(maxDecisionsPerSecond)
			if n := j.dropped.Swap(0); n > 0 {
				j.write(line{time.Now(), "lines dropped", []any{"count", n}})
			}
		case <-ctx.Done():
			j.flush()
			return nil
		}
	}
}

// flush writes the queued lines.
func (j *EventLog) flush() {
	for {
		select {
		case l := <-j.lines:
			j.write(l)
		default:
			return
		}
	}
}

func (j *EventLog) write(l line) {
	j.logger.Info(l.message, append([]any{"t", l.at.Format("15:04:05.000")}, l.fields...)...)
}
