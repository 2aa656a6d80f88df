package control

import (
	"maps"
	"slices"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// evacuations is the table of the data centres that the operator evacuates. It holds
// for all shards of the process, also those that are gained later, and while the store
// does not answer. The zero value has not been read from the store yet.
type evacuations struct {
	read  bool // the operator's requests were read at least once
	rows  map[unit.DataCentre]evacuation
	names dispatch.DataCentres // keys of rows, shared with the shards
}

// evacuation is a row of the table of evacuated data centres.
type evacuation struct {
	since unit.UnixMillis // when the process learned of it
}

// EvacuationDump describes the evacuation of a data centre, as far as the shards of
// the process are concerned.
type EvacuationDump struct {
	DataCentre unit.DataCentre `json:"dataCentre"`
	Since      unit.UnixMillis `json:"sinceUnixMs"` // when the process learned of it
	Executors  int             `json:"executors"`
	Runs       int             `json:"runs"` // that are left there
}

// setEvacuated replaces the set of evacuated data centres and passes it to the shards.
func (c *Control) setEvacuated(evacuated []unit.DataCentre) {
	before := c.evacuations.rows
	rows, names := make(map[unit.DataCentre]evacuation, len(evacuated)), make(dispatch.DataCentres, len(evacuated))
	for _, name := range evacuated {
		row, ok := before[name]
		if !ok {
			row.since = wallNow()
			c.logEvacuation("evacuation begins", name)
		}
		rows[name], names[name] = row, struct{}{}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !names.Has(name) {
			c.logEvacuation("evacuation ends", name, "lastedMs", int64(wallNow()-before[name].since))
		}
	}
	c.evacuations = evacuations{true, rows, names}
	c.Counters.EvacuatedDataCentres.Store(int64(len(rows)))
	c.updateNoStarts()
	for _, owned := range c.owned {
		c.passEvacuated(owned)
	}
}

// passEvacuated passes the evacuated data centres to a shard, once they are known.
func (c *Control) passEvacuated(owned *ownedShard) {
	if c.evacuations.read {
		owned.shard.SetEvacuated(c.Clock.Now(), c.evacuations.names)
	}
}

// countIn returns the number of executors and runs of the shards of the process in a
// data centre.
func (c *Control) countIn(name unit.DataCentre) (executors, runs int) {
	for _, owned := range c.owned {
		e, r := owned.shard.CountIn(name)
		executors, runs = executors+e, runs+r
	}
	return executors, runs
}

// logEvacuation logs a change of an evacuation. Another writer may choose the name.
func (c *Control) logEvacuation(message string, name unit.DataCentre, fields ...any) {
	executors, runs := c.countIn(name)
	c.EventLog.LogChange(message, append([]any{
		"dataCentre", truncate(string(name), maxLoggedKeyBytes), "executors", executors, "runs", runs,
	}, fields...)...)
}

// dumpEvacuations describes the evacuations, by name.
func (c *Control) dumpEvacuations() []EvacuationDump {
	var out []EvacuationDump
	for _, name := range slices.Sorted(maps.Keys(c.evacuations.rows)) {
		executors, runs := c.countIn(name)
		out = append(out, EvacuationDump{name, c.evacuations.rows[name].since, executors, runs})
	}
	return out
}

// updateNoStarts notes the executors that take no starts, for orders that have left
// the control goroutine but not the process.
func (c *Control) updateNoStarts() {
	noStarts := make(map[unit.Executor]struct{})
	for id, r := range c.registrations {
		if !r.TakesStarts(c.evacuations.names.Has(r.DataCentre)) {
			noStarts[id] = struct{}{}
		}
	}
	c.noStarts.Store(&noStarts)
}

// takesStarts reports whether a start may leave for an executor. It may be called
// from any goroutine.
func (c *Control) takesStarts(id unit.Executor) bool {
	noStarts := c.noStarts.Load()
	if noStarts == nil {
		return true
	}
	_, found := (*noStarts)[id]
	return !found
}
