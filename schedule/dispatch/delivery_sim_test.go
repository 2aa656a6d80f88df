package dispatch

import (
	"cmp"
	"errors"
	"slices"

	"mimosadock/schedule/clock"
)

// send puts orders in transit, some of them lost or late.
func (sim *simulation) send(from *Shard, orders []Order) {
	slices.SortStableFunc(orders, compareOrders) // repeated ones come in random order
	for _, o := range orders {
		if o.Loan != nil {
			sim.sendLoanRequest(from, o.Loan)
			continue
		}
		if o.Start != nil {
			sim.checkStartOrder(from, o.Start)
			sim.checkDataCentre(from, &o)
		}
		m := message{sentAt: sim.now, deliverAt: sim.now.Add(clock.Span(1 + sim.random.Intn(15))), order: o, from: from, answerArrives: true}
		switch {
		case sim.chance(sim.faults.lost):
			m.answerArrives = false
			if x := sim.executors[o.To.Executor]; x != nil {
				x.lostAt = sim.now
			}
			if sim.chance(0.5) {
				m.deliverAt = clock.Never
			}
		case sim.chance(sim.faults.late) || o.Start != nil && sim.rarely(sim.faults.lateStart) || sim.isCut(from, o.To.Executor) && sim.rarely(sim.faults.deferred):
			m.deliverAt, m.answerArrives = sim.now.Add(sim.span(2*clock.Second, cmp.Or(sim.faults.maxLate, 12*clock.Second))), false
			m.deferred = sim.rarely(sim.faults.deferred)
		}
		if !m.answerArrives {
			// The sender times out long before a late order is carried out.
			sim.messages = append(sim.messages, message{deliverAt: sim.now.Add(orderTimeout), order: o, from: from})
			sim.messages[len(sim.messages)-1].order.To.Address = "timeout"
		}
		if m.deliverAt != clock.Never {
			sim.messages = append(sim.messages, m)
		}
	}
}

// compareOrders orders stops and starts by task, before all other orders.
func compareOrders(a, b Order) int {
	kind := func(o Order) int {
		switch {
		case o.Stop != nil:
			return 0
		case o.Start != nil:
			return 1
		}
		return 2
	}
	switch k := kind(a); {
	case k != kind(b):
		return k - kind(b)
	case k == 0:
		return a.Stop.Task.compare(b.Stop.Task)
	case k == 1:
		return a.Start.Task.compare(b.Start.Task)
	}
	return 0
}

// compare orders tasks by job, occurrence, step and index.
func (t TaskID) compare(u TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, u.Job), cmp.Compare(t.Occurrence, u.Occurrence), cmp.Compare(t.Step, u.Step), cmp.Compare(t.Index, u.Index))
}

// deliver carries out the orders that have arrived.
func (sim *simulation) deliver() {
	var due, remaining []message
	for _, m := range sim.messages {
		if m.deliverAt <= sim.now {
			due = append(due, m)
		} else {
			remaining = append(remaining, m)
		}
	}
	sim.messages = remaining
	for _, m := range due {
		x := sim.executors[m.order.To.Executor]
		if m.order.To.Address == "timeout" || m.order.To.Address == "" || x == nil || !m.deferred && sim.isCut(m.from, x.id) {
			if m.answerArrives || m.order.To.Address == "timeout" {
				m.from.HandleAnswer(sim.now, sim.wall(), &m.order, &Answer{}, errors.New("no answer"))
			}
			continue
		}
		if m.sentAt < x.startedAt && !m.deferred && (m.deliverAt.Sub(m.sentAt) >= orderTimeout || !sim.chance(sim.faults.misdelivered)) {
			// An order that an executor has deferred is lost when the executor
			// restarts.
			if m.answerArrives {
				m.from.HandleAnswer(sim.now, sim.wall(), &m.order, &Answer{}, errors.New("connection lost"))
			}
			continue
		}
		x.isUnfenced = sim.isUnfenced(x, &m)
		a := sim.execute(x, &m.order)
		if m.answerArrives && sim.now < x.silentUntil {
			sim.messages = append(sim.messages, message{deliverAt: m.sentAt.Add(orderTimeout), order: m.order, from: m.from})
			sim.messages[len(sim.messages)-1].order.To.Address = "timeout"
			continue
		}
		if m.answerArrives {
			m.from.HandleAnswer(sim.now, sim.wall(), &m.order, &a, nil)
		}
	}
}
