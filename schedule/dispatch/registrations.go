package dispatch

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// applyRegistration records an executor's entry in the platform's list. A new
// start time means that the executor has restarted. An entry of an incarnation that
// has ended changes nothing: an answer of the next one can come before its entry.
func (s *Shard) applyRegistration(now clock.Millis, r Registration) {
	e := s.executors.Get(r.Executor)
	if e == nil {
		removed := s.removedExecutors[r.Executor]
		e = s.executors.Put(r.Executor, Executor{restarts: removed.restarts, reconciledBefore: removed.reconciledBefore})
	}
	if slices.Contains(e.formerIncarnations, r.Incarnation) {
		return
	}
	if r.Draining && !e.Draining {
		e.drainingSince = now
		s.report(Event{Kind: "draining", Executor: r.Executor})
	}
	previous := e.Incarnation
	e.Registration, e.registered, e.entryIncarnation = r, true, r.Incarnation
	s.updateEvacuated(now, e)
	s.markAvailable(e)
	if previous != 0 && e.Incarnation != previous {
		s.handleRestart(now, e, previous)
	}
}

// ApplyRegistrations applies changes of the platform's list of executors. inShard
// reports whether the layout assigns an executor to the shard. Executors that are
// lent to another shard are left out, and borrowed ones included. An undecodable
// entry changes nothing: another writer can leave it under the id of an executor
// that works, so that executor is not taken for removed either.
func (s *Shard) ApplyRegistrations(now clock.Millis, r Registrations, inShard func(unit.Executor) bool) {
	listed := make(map[unit.Executor]bool, len(r.Entries))
	for i := range r.Entries {
		if s.uses(r.Entries[i].Executor, inShard) {
			listed[r.Entries[i].Executor] = true
			s.applyRegistration(now, r.Entries[i])
		}
	}
	for _, id := range r.Removed {
		s.unregister(now, id)
	}
	for i := range r.Undecodable {
		listed[r.Undecodable[i].Executor] = true
	}
	if r.Complete {
		for _, id := range s.registeredExecutors() {
			if !listed[id] {
				s.unregister(now, id)
			}
		}
	}
}

// unregister records that an executor's entry was removed. Its runs stay
// assigned until its lease has expired.
func (s *Shard) unregister(now clock.Millis, id unit.Executor) {
	if e := s.executors.Get(id); e != nil && e.registered {
		e.registered, e.unregisteredAt = false, now
	}
}

// needsService reports whether a queue or a job with tasks to place names a
// service. It returns true before the first configuration.
func (s *Shard) needsService(service unit.Service) bool {
	if s.config == nil || s.config.names(service) {
		return true
	}
	for k := range s.readySteps {
		if j := s.jobs.Get(k.job); j != nil && j.Spec != nil && s.queue(j).Service == service {
			return true
		}
	}
	return false
}

// removedExecutor is what is kept of an executor whose row was dropped.
type removedExecutor struct {
	restarts         unit.Token // with the possible one since
	reconciledBefore bool
}

// removeUnregistered drops the rows of executors that have no entry, no runs
// and no hold in flight, after the grace period. An executor whose entry comes back
// may be a later incarnation, so that the fencing token for it has to be above that
// of orders which the former one never received.
func (s *Shard) removeUnregistered(now clock.Millis) {
	s.executors.DeleteFunc(func(id unit.Executor, e *Executor) bool {
		if e.registered || len(e.runs) > 0 || e.holdInFlight || now < e.unregisteredAt.Add(reregistrationGrace) {
			return false
		}
		if s.removedExecutors == nil {
			s.removedExecutors = make(map[unit.Executor]removedExecutor)
		}
		s.removedExecutors[id] = removedExecutor{e.restarts + 1, e.reconciledBefore}
		return true
	})
}

// registeredExecutors returns the ids of the executors that have an entry.
func (s *Shard) registeredExecutors() []unit.Executor {
	var ids []unit.Executor
	for id, e := range s.executors.All() {
		if e.registered {
			ids = append(ids, id)
		}
	}
	return ids
}
