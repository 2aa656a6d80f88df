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
	maxQueuedLines        = 1024 // more are dropped and counted
	maxDecisionsPerSecond = 400  // lines of single decisions; changes are not limited
)

// Journal writes log lines in a goroutine of its own and drops lines rather
// than block. Use [NewJournal].
type Journal struct {
	logger         *log.Logger
	lines          chan line
	dropped        atomic.Int64
	decisionBudget atomic.Int64 // decisions that may still be written in this second
}

type line struct {
	at     time.Time
	kind   string
	fields []any
}

var _ control.Journal = (*Journal)(nil)

// NewJournal returns a journal that writes to w.
func NewJournal(w io.Writer, level log.Level) *Journal {
	j := &Journal{
		logger: log.NewWithOptions(w, log.Options{Level: level, Formatter: log.LogfmtFormatter}),
		lines:  make(chan line, maxQueuedLines),
	}
	j.decisionBudget.Store(maxDecisionsPerSecond)
	return j
}

// Change writes a line for a change of what the process believes.
func (j *Journal) Change(what string, fields ...any) { j.enqueue(what, fields) }

// Decision writes a line for a decision about one request or run, within the
// limit of lines a second.
func (j *Journal) Decision(what string, fields ...any) {
	if j.logger.GetLevel() > log.InfoLevel {
		return
	}
	if j.decisionBudget.Add(-1) < 0 {
		j.dropped.Add(1)
		return
	}
	j.enqueue(what, fields)
}

func (j *Journal) enqueue(what string, fields []any) {
	select {
	case j.lines <- line{time.Now(), what, fields}:
	default:
		j.dropped.Add(1)
	}
}

// Run writes the lines until ctx ends, and then those that are left.
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
