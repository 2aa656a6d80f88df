package work

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/member"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Periods of the slower systems, in ticks.
const (
	ticksPerSecond = 20
	ticksPerMinute = 60 * ticksPerSecond
)

// SetWorkers updates the workers from the platform's list of hosts. The list
// lags, so workers that it does not contain stay; their attempts end with
// their leases.
func (b *Board) SetWorkers(list []member.Listing) {
	for _, l := range list {
		if l.Role == member.RoleWorker && l.DataCentre == b.Home {
			r := b.Workers.Put(unit.Worker(l.Address), l.Host, l.Rack, l.Capacity)
			r.Leaving = l.State == member.StateLeaving
		}
	}
}

// SetText sets the services text in force, which is the configuration of teams
// and kinds of work, and the quotas of its teams.
func (b *Board) SetText(t *service.Text) {
	b.Text = t
	for _, team := range t.Teams {
		b.Teams.Teams.Ensure(team.Name).Quota = team.Quota
	}
}

// Tick runs the systems if this process is the owner. The caller fetches
// command batches and records afterwards.
func (b *Board) Tick(now clock.Millis) {
	b.ticks++
	if !b.authority.IsOwner {
		return
	}
	b.expireLeases(now)
	b.completeTakeover(now)
	if b.ticks%deferredRetryTicks == 0 {
		b.requeueDeferred()
	}
	b.placeWaiting(now)
	b.LatencyCriticalPeak.Add(now, b.allocatedByClass[service.LatencyCritical])
	if b.ticks%ticksPerSecond == 0 {
		b.endThrottling()
		b.reclaimBorrowed(now)
		b.expireReservations(now)
		b.retryBatchWork = true
	}
	if b.ticks%ticksPerMinute == 0 {
		b.purgeEnded(now)
	}
}
