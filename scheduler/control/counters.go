package control

import (
	"expvar"
	"sync/atomic"
)

// Counters are the metrics of the control state. The zero value is ready to use;
// [Counters.Publish] exports them.
type Counters struct {
	Appends       atomic.Int64
	AppendRetries atomic.Int64
	AppendMillis  atomic.Int64
	// RefusedChanges counts the changes that the store refused for good.
	RefusedChanges atomic.Int64
	// RefusedAnswers counts the requests that were refused because a successor may
	// own the shard.
	RefusedAnswers atomic.Int64
	Records        atomic.Int64
	Starts         atomic.Int64
	Stops          atomic.Int64
	Paces          atomic.Int64
	Holds          atomic.Int64
	AdviceCalls    atomic.Int64
	LoanRequests   atomic.Int64
	Gains          atomic.Int64
	Releases       atomic.Int64
	JoinFailures   atomic.Int64
	FeedFailures   atomic.Int64
	// BusyMicros is the time in which the control goroutine worked, in microseconds.
	BusyMicros atomic.Int64
	// UndecodableRegistrations counts the entries of the list of executors that
	// were found undecodable, once for as long as they stay so.
	UndecodableRegistrations atomic.Int64

	// EvacuatedDataCentres is the number of data centres that the operator evacuates.
	EvacuatedDataCentres atomic.Int64
	// WithheldStarts counts the starts that were ordered but not sent, because the
	// executor takes none any more.
	WithheldStarts atomic.Int64

	events     expvar.Map
	breakdowns breakdowns
}

// Event counts one event of a shard by its kind.
func (c *Counters) Event(kind string) { c.events.Add(kind, 1) }

// Publish adds the counters to a map of variables.
func (c *Counters) Publish(m *expvar.Map) {
	for name, v := range map[string]*atomic.Int64{
		"appends": &c.Appends, "appendRetries": &c.AppendRetries, "appendMillis": &c.AppendMillis, "refusedChanges": &c.RefusedChanges, "refusedAnswers": &c.RefusedAnswers,
		"records": &c.Records, "starts": &c.Starts, "stops": &c.Stops, "paces": &c.Paces, "holds": &c.Holds, "adviceCalls": &c.AdviceCalls, "loanRequests": &c.LoanRequests,
		"busyMicros": &c.BusyMicros, "shardGains": &c.Gains, "shardReleases": &c.Releases, "joinFailures": &c.JoinFailures, "feedFailures": &c.FeedFailures,
		"undecodableRegistrations": &c.UndecodableRegistrations,
		"evacuatedDataCentres":     &c.EvacuatedDataCentres, "withheldStarts": &c.WithheldStarts,
	} {
		m.Set(name, expvar.Func(func() any { return v.Load() }))
	}
	m.Set("decisions", &c.events)
	m.Set("timeParts", &c.breakdowns)
}
