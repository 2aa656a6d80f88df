package control

import (
	"encoding/json"
	"sync"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// breakdownInterval is the interval between two lines in the log with the breakdowns
// of a queue.
const breakdownInterval = 3 * clock.Second

// breakdownSums are the sums of the breakdowns of occurrences.
type breakdownSums struct {
	occurrences int64
	estimate    clock.Span
	parts       [len(dispatch.Breakdown{}.Parts)]clock.Span
}

func (s *breakdownSums) add(b *dispatch.Breakdown) {
	s.occurrences++
	s.estimate += b.Estimate
	for i, p := range b.Parts {
		s.parts[i] += p
	}
}

// fields returns the sums by name, in ms.
func (s *breakdownSums) fields() []any {
	fields := []any{"occurrences", s.occurrences, "estimateMs", int64(s.estimate)}
	for i, p := range s.parts {
		fields = append(fields, dispatch.TimePart(i).String()+"Ms", int64(p))
	}
	return fields
}

// queueBreakdowns are the sums of a queue since the start of the process and since
// the last line in the log: of all occurrences, and of those that took longer than
// their objective.
type queueBreakdowns struct {
	all, late             breakdownSums
	unloggedAll, unlogged breakdownSums // unlogged is of late ones
	loggedAt              clock.Millis
}

// breakdowns sums up where the time of occurrences went, by queue. The zero value is
// ready to use. It is safe for concurrent use.
type breakdowns struct {
	mu     sync.Mutex
	queues map[unit.Queue]*queueBreakdowns
}

// add adds an occurrence. It returns the sums since the last line of its queue if
// the next line is due, and nil otherwise.
func (b *breakdowns) add(now clock.Millis, x *dispatch.Breakdown) (all, late *breakdownSums) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queues == nil {
		b.queues = make(map[unit.Queue]*queueBreakdowns)
	}
	q := b.queues[x.Queue]
	if q == nil {
		q = &queueBreakdowns{loggedAt: now}
		b.queues[x.Queue] = q
	}
	q.all.add(x)
	q.unloggedAll.add(x)
	if x.Late() {
		q.late.add(x)
		q.unlogged.add(x)
	}
	if now < q.loggedAt.Add(breakdownInterval) {
		return nil, nil
	}
	loggedAll, loggedLate := q.unloggedAll, q.unlogged
	q.unloggedAll, q.unlogged, q.loggedAt = breakdownSums{}, breakdownSums{}, now
	return &loggedAll, &loggedLate
}

// String implements expvar.Var: the sums of each queue as a JSON object.
func (b *breakdowns) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[unit.Queue]map[string]map[string]any, len(b.queues))
	for name, q := range b.queues {
		out[name] = map[string]map[string]any{"all": q.all.object(), "late": q.late.object()}
	}
	text, err := json.Marshal(out)
	if err != nil {
		return "{}" // names and numbers can always be encoded
	}
	return string(text)
}

func (s *breakdownSums) object() map[string]any {
	fields, out := s.fields(), make(map[string]any)
	for i := 0; i < len(fields); i += 2 {
		out[fields[i].(string)] = fields[i+1]
	}
	return out
}

// logBreakdown adds an occurrence to the sums of its queue, and logs them when the
// next line of the queue is due.
func (c *Control) logBreakdown(x *dispatch.Breakdown) {
	all, late := c.Counters.breakdowns.add(c.Clock.Now(), x)
	if all == nil {
		return
	}
	c.EventLog.LogChange("time parts", append([]any{"queue", x.Queue, "of", "all"}, all.fields()...)...)
	if late.occurrences > 0 {
		c.EventLog.LogChange("time parts", append([]any{"queue", x.Queue, "of", "late"}, late.fields()...)...)
	}
}
