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

// Journal writes log lines in its own goroutine. If its queue is full it drops
// lines instead of blocking. Use [NewJournal] to create one.
type Journal struct {
	logger         *log.Logger
	lines          chan line
	dropped        atomic.Int64
	decisionBudget atomic.Int64 // decisions that may still be logged in this second
}

// line is a queued log line.
type line struct {
	at     time.Time
	kind   string
	fields []any
}

var _ control.Journal = (*Journal)(nil)

// NewJournal returns a journal that writes lines of the given level and above to
// w. [Journal.Run] must run for lines to be written.
func NewJournal(w io.Writer, level log.Level) *Journal {
	j := &Journal{
		logger: log.NewWithOptions(w, log.Options{Level: level, Formatter: log.LogfmtFormatter}),
		lines:  make(chan line, maxQueuedLines),
	}
	j.decisionBudget.Store(maxDecisionsPerSecond)
	return j
}

// Change logs a change of the process's state or a failure.
func (j *Journal) Change(kind string, fields ...any) { j.enqueue(kind, fields) }

// Decision logs a decision about one request or run. It drops the line if the
// limit of decisions per second is reached.
func (j *Journal) Decision(kind string, fields ...any) {
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
func (j *Journal) enqueue(kind string, fields []any) {
	select {
	case j.lines <- line{time.Now(), kind, fields}:
	default:
		j.dropped.Add(1)
	}
}

// Run writes lines until ctx ends, and then the lines that are still queued. Once
// a second it logs the number of dropped lines, if any.
func (j *Journal) Run(ctx context.Context) error {
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
func (j *Journal) flush() {
	for {
		select {
		case l := <-j.lines:
			j.write(l)
		default:
			return
		}
	}
}

func (j *Journal) write(l line) {
	j.logger.Info(l.kind, append([]any{"t", l.at.Format("15:04:05.000")}, l.fields...)...)
}
