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

// EventLog writes log lines in its own goroutine. If its queue is full, it drops
// lines instead of blocking. Use [NewEventLog] to create one.
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

// NewEventLog returns an event log that writes to w. All lines have the level
// info, failures included, so a higher level writes none. [EventLog.Run] must run
// for lines to be written.
func NewEventLog(w io.Writer, level log.Level) *EventLog {
	e := &EventLog{
		logger: log.NewWithOptions(w, log.Options{Level: level, Formatter: log.LogfmtFormatter}),
		lines:  make(chan line, maxQueuedLines),
	}
	e.decisionBudget.Store(maxDecisionsPerSecond)
	return e
}

// LogChange logs a change of the process's state or a failure.
func (e *EventLog) LogChange(message string, fields ...any) { e.enqueue(message, fields) }

// LogDecision logs a decision about one request or run. It drops the line if the
// limit of decisions per second is reached.
func (e *EventLog) LogDecision(message string, fields ...any) {
	if e.logger.GetLevel() > log.InfoLevel {
		return
	}
	if e.decisionBudget.Add(-1) < 0 {
		e.dropped.Add(1)
		return
	}
	e.enqueue(message, fields)
}

// enqueue queues a line, or drops and counts it if the queue is full.
func (e *EventLog) enqueue(message string, fields []any) {
	select {
	case e.lines <- line{time.Now(), message, fields}:
	default:
		e.dropped.Add(1)
	}
}

// Run writes lines until ctx ends, and then the lines that are still queued. Once
// a second it logs the number of dropped lines, if any.
func (e *EventLog) Run(ctx context.Context) error {
	refill := time.NewTicker(time.Second)
	defer refill.Stop()
	for {
		select {
		case l := <-e.lines:
			e.write(l)
		case <-refill.C:
			e.decisionBudget.Store(maxDecisionsPerSecond)
			if n := e.dropped.Swap(0); n > 0 {
				e.write(line{time.Now(), "lines dropped", []any{"count", n}})
			}
		case <-ctx.Done():
			e.flush()
			return nil
		}
	}
}

// flush writes the queued lines.
func (e *EventLog) flush() {
	for {
		select {
		case l := <-e.lines:
			e.write(l)
		default:
			return
		}
	}
}

func (e *EventLog) write(l line) {
	e.logger.Info(l.message, append([]any{"t", l.at.Format("15:04:05.000")}, l.fields...)...)
}
