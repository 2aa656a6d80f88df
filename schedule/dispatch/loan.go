package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// loanInterval is the interval between two requests to a lender while the
	// shard needs executors.
	loanInterval = 400 * clock.Millisecond
	// loanPollInterval is the interval between two requests to a lender while the
	// shard needs none. Its load is sent with each, so that it can be compared.
	loanPollInterval = 2 * clock.Second
	// loanWaitTimeout is how long a task waits before executors are requested for
	// it, whatever the loads of the shards.
	loanWaitTimeout = clock.Second
	// vacatePeriod is how long an executor that is to be lent gets no new runs
	// after the last request for it.
	vacatePeriod = 3 * clock.Second
	// maxLoansPerReply bounds the executors that are lent or vacated for one
	// request.
	maxLoansPerReply = 6
	// minImbalance is the difference between the loads of two shards from which
	// one lends executors to the other. It keeps executors from moving to and fro.
	minImbalance = 0.04
	// maxLenderLoad is the load up to which a shard lends an executor to one that
	// has a waiting task but no higher load.
	maxLenderLoad = 0.97
	// loanRetention is how long the token base of an executor without an entry is
	// kept. The executor may come back and remember its highest token.
	loanRetention = clock.Hour
)

// Loan describes the right of one shard to an executor. The home shard of an
// executor, to which the layout assigns it, may lend it to another shard, the
// borrower. Only the home shard stores this, so there is one record of who may
// use the executor.
type Loan struct {
	Executor  unit.Executor `cbor:"1,keyasint"`
	TokenBase unit.Token    `cbor:"2,keyasint,omitempty"` // added to the fencing tokens of the shard that uses the executor; above all tokens of the shard that used it before
	Lent      bool          `cbor:"3,keyasint,omitempty"` // false if the home shard may use the executor
	Borrower  unit.Shard    `cbor:"4,keyasint,omitempty"`
}

// homeLoan is a row of the table of executors of this shard that are lent or
// were lent before.
type homeLoan struct {
	Loan
	dirty       bool         // differs from the store
	returning   bool         // returned, but the store still has it as lent
	storing     bool         // the return is in the append in flight
	absentSince clock.Millis // since when a returned executor has no row, 0 if it has one
}

// borrowedExecutor is a row of the table of executors borrowed from other shards.
type borrowedExecutor struct {
	lender     unit.Shard
	tokenBase  unit.Token
	borrowedAt clock.Millis
}

// lender is the state of the requests to the owner of another shard.
type lender struct {
	epoch    unit.Generation // of the last reply, 0 if there was none
	sequence int64           // of the last request
	inFlight bool            // the last request has no reply yet
	nextAt   clock.Millis
	returns  []Loan // executors that this shard no longer uses, until a reply confirms it
}

// loanSession identifies the last request of a borrower. Requests that arrive
// after a later one, or from a replaced owner, are refused.
type loanSession struct {
	epoch    unit.Generation
	sequence int64
}

// ServiceLoad is the load of the executors of a service in one shard.
type ServiceLoad struct {
	Service  unit.Service  `cbor:"1,keyasint"`
	Capacity unit.MilliCPU `cbor:"2,keyasint"`
	Demand   unit.MilliCPU `cbor:"3,keyasint"` // of perpetual tasks, assigned or waiting
}

// share returns the demand as a share of the capacity, with c added to the
// capacity. Without capacity, it is 0 if there is no demand, and above any other
// share if there is.
func (l *ServiceLoad) share(c unit.MilliCPU) float64 {
	capacity := l.Capacity + c
	if capacity <= 0 {
		if l.Demand == 0 {
			return 0
		}
		capacity = 1
	}
	return float64(l.Demand) / float64(capacity)
}

// LoanWant describes tasks that have waited for loanWaitTimeout and would not fit
// on the executors of their shard without the batch tasks there.
type LoanWant struct {
	Service unit.Service   `cbor:"1,keyasint"`
	Size    unit.Resources `cbor:"2,keyasint"` // of one task
	Needs   unit.Label     `cbor:"3,keyasint,omitempty"`
}

// LoanRequest is sent by the owner of one shard to the owner of another, the
// lender. It returns executors and says what the borrower needs.
type LoanRequest struct {
	Lender        unit.Shard      `cbor:"1,keyasint"`
	Borrower      unit.Shard      `cbor:"2,keyasint"`
	BorrowerEpoch unit.Generation `cbor:"3,keyasint"`
	LenderEpoch   unit.Generation `cbor:"4,keyasint,omitempty"` // of the last reply, 0 if there was none
	Sequence      int64           `cbor:"5,keyasint"`           // rises within an epoch of the borrower
	Returns       []Loan          `cbor:"6,keyasint,omitempty"`
	Loads         []ServiceLoad   `cbor:"7,keyasint,omitempty"`
	Wants         []LoanWant      `cbor:"8,keyasint,omitempty"`
}

// LoanReply is the reply to a [LoanRequest]. It is sent after its changes are
// stored.
type LoanReply struct {
	Epoch unit.Generation `cbor:"1,keyasint"`
	Loans []Loan          `cbor:"2,keyasint,omitempty"` // all executors lent to the borrower
	Loads []ServiceLoad   `cbor:"3,keyasint,omitempty"` // of the lender
}

// uses reports whether this shard may use an executor. inShard reports whether it
// is the home shard.
func (s *Shard) uses(id unit.Executor, inShard func(unit.Executor) bool) bool {
	if s.borrowed.Get(id) != nil {
		return true
	}
	if l := s.loans.Get(id); l != nil && (l.Lent || l.returning) {
		return false
	}
	return inShard(id)
}

// tokenBase returns what is added to the fencing tokens for an executor, so that
// they are above those of the shard that used it before.
func (s *Shard) tokenBase(id unit.Executor) unit.Token {
	if b := s.borrowed.Get(id); b != nil {
		return b.tokenBase
	}
	if l := s.loans.Get(id); l != nil {
		return l.TokenBase
	}
	return 0
}

// nextTokenBase returns a base that is above all tokens of this owner for an
// executor.
func (s *Shard) nextTokenBase(id unit.Executor) unit.Token {
	return s.tokenBase(id) + unit.Token(s.Epoch+1)*tokensPerEpoch
}

// RestoreLoan adds the record of an executor that is lent or was lent before. All
// loans must be restored before [Shard.StartOwnership].
func (s *Shard) RestoreLoan(l Loan) { s.loans.Put(l.Executor, homeLoan{Loan: l}) }

// Gained returns the executors that the shard may use since the last call. Their
// entries have to be passed to [Shard.ApplyRegistrations].
func (s *Shard) Gained() []unit.Executor {
	gained := s.gained
	s.gained = nil
	return gained
}

// Borrower returns the shard to which an executor of this shard is lent. It
// returns false if the executor is not lent.
func (s *Shard) Borrower(id unit.Executor) (unit.Shard, bool) {
	if l := s.loans.Get(id); l != nil && l.Lent {
		return l.Borrower, true
	}
	return 0, false
}

// serviceLoads returns the load of each service, and the tasks that have waited
// for loanWaitTimeout, at most one for each service and label.
func (s *Shard) serviceLoads(now clock.Millis) (loads []ServiceLoad, wants []LoanWant) {
	index := make(map[unit.Service]int)
	load := func(service unit.Service) *ServiceLoad {
		i, ok := index[service]
		if !ok {
			i = len(loads)
			index[service], loads = i, append(loads, ServiceLoad{Service: service})
		}
		return &loads[i]
	}
	for _, e := range s.executors.All() {
		if e.serviceable(now) {
			l := load(e.Service)
			l.Capacity += e.Capacity.CPU
			l.Demand += e.perpetualCPU
		}
	}
	for k, since := range s.readySteps {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() {
			continue
		}
		step := &j.Spec.Steps[k.step]
		ready := 0
		for i := range j.Occurrences[k.occurrence].Steps[k.step].Tasks {
			if j.Occurrences[k.occurrence].Steps[k.step].Tasks[i].State == TaskReady {
				ready++
			}
		}
		if ready == 0 {
			continue
		}
		l := load(s.queue(j).Service)
		if step.Perpetual {
			l.Demand += unit.MilliCPU(ready) * step.Size.CPU
		}
		if now.Sub(since) < loanWaitTimeout || s.canHold(now, l.Service, step) {
			continue
		}
		i := slices.IndexFunc(wants, func(w LoanWant) bool { return w.Service == l.Service && w.Needs == step.Needs })
		if i < 0 {
			wants = append(wants, LoanWant{l.Service, step.Size, step.Needs})
		} else if step.Size.CPU > wants[i].Size.CPU {
			wants[i].Size = step.Size
		}
	}
	return loads, wants
}

// canHold reports whether a task of a step, or all tasks of a gang, would fit on
// the executors of a service without the tasks there that are not perpetual.
func (s *Shard) canHold(now clock.Millis, service unit.Service, step *Step) bool {
	missing := 1
	if step.Gang {
		missing = step.Count
	}
	for _, e := range s.executors.All() {
		if e.Service != service || !e.serviceable(now) || step.Needs != "" && !e.hasLabel(step.Needs) {
			continue
		}
		free := e.Capacity
		free.CPU -= e.perpetualCPU
		for demand := step.demand(); missing > 0 && demand.Fits(free); missing-- {
			free = free.Sub(demand)
		}
		if missing == 0 {
			return true
		}
	}
	return false
}

// requestLoans sends a request to the owners of the other shards: at short
// intervals while tasks wait or a lender has a lower load, and at long ones
// otherwise.
func (s *Shard) requestLoans(now clock.Millis) {
	if s.Shards < 2 {
		return
	}
	if s.lenders == nil {
		s.lenders = make(map[unit.Shard]*lender)
	}
	var loads []ServiceLoad
	var wants []LoanWant
	for n := range s.Shards {
		id := unit.Shard(n)
		if id == s.ID {
			continue
		}
		l := s.lenders[id]
		if l == nil {
			l = new(lender)
			s.lenders[id] = l
		}
		if l.inFlight || now < l.nextAt {
			continue
		}
		if loads == nil {
			s.returnUnused(now)
			loads, wants = s.serviceLoads(now)
		}
		l.inFlight = true
		l.sequence++
		s.pendingOrders = append(s.pendingOrders, Order{Loan: &LoanRequest{
			Lender: id, Borrower: s.ID, BorrowerEpoch: s.Epoch, LenderEpoch: l.epoch, Sequence: l.sequence,
			Returns: slices.Clone(l.returns), Loads: loads, Wants: wants,
		}})
	}
}

// returnUnused gives up borrowed executors that have no row: their entries were
// removed, and no run is assigned to them.
func (s *Shard) returnUnused(now clock.Millis) {
	var unused []unit.Executor
	for id, b := range s.borrowed.All() {
		if s.executors.Get(id) == nil && now >= b.borrowedAt.Add(reregistrationGrace) {
			unused = append(unused, id)
		}
	}
	for _, id := range unused {
		s.giveBack(now, id)
	}
}

// giveBack ends the use of a borrowed executor without runs. The next request to
// its lender returns it.
func (s *Shard) giveBack(now clock.Millis, id unit.Executor) {
	b := s.borrowed.Get(id)
	l := s.lenders[b.lender]
	l.returns = append(l.returns, Loan{Executor: id, TokenBase: s.nextTokenBase(id)})
	l.nextAt = now
	s.report(Event{Kind: "executorReturned", Executor: id})
	s.borrowed.Delete(id)
	s.executors.Delete(id)
}

// HandleLoanReply applies the reply to a request of [Shard.Tick]. reply is nil if
// the request was refused or its outcome is unknown.
func (s *Shard) HandleLoanReply(now clock.Millis, request *LoanRequest, reply *LoanReply) {
	l := s.lenders[request.Lender]
	if l == nil || l.sequence != request.Sequence {
		return
	}
	l.inFlight, l.nextAt = false, now.Add(loanInterval)
	if reply == nil {
		return
	}
	l.epoch = reply.Epoch
	lent := make(map[unit.Executor]bool, len(reply.Loans))
	for _, loan := range reply.Loans {
		lent[loan.Executor] = true
		if s.borrowed.Get(loan.Executor) != nil || slices.ContainsFunc(l.returns, func(r Loan) bool { return r.Executor == loan.Executor }) {
			continue
		}
		s.borrowed.Put(loan.Executor, borrowedExecutor{request.Lender, loan.TokenBase, now})
		s.gained = append(s.gained, loan.Executor)
		s.report(Event{Kind: "executorBorrowed", Executor: loan.Executor})
	}
	l.returns = slices.DeleteFunc(l.returns, func(r Loan) bool { return !lent[r.Executor] })
	if len(l.returns) > 0 {
		l.nextAt = now
	} else if loads, wants := s.serviceLoads(now); len(wants) == 0 && !exceeds(loads, reply.Loads) {
		l.nextAt = now.Add(loanPollInterval)
	}
}

// exceeds reports whether the load of a service is above that of a lender by
// minImbalance.
func exceeds(loads, lenderLoads []ServiceLoad) bool {
	for i := range loads {
		for k := range lenderLoads {
			if loads[i].Service == lenderLoads[k].Service && loads[i].share(0) > lenderLoads[k].share(0)+minImbalance {
				return true
			}
		}
	}
	return false
}

// HandleLoanRequest applies a request of the owner of another shard. The reply may
// be sent once the changes of the next tick are stored. It returns false if a
// later request of the borrower was handled before.
func (s *Shard) HandleLoanRequest(now clock.Millis, request *LoanRequest) (LoanReply, bool) {
	last := s.loanSessions[request.Borrower]
	if request.BorrowerEpoch < last.epoch || request.BorrowerEpoch == last.epoch && request.Sequence <= last.sequence {
		return LoanReply{}, false
	}
	if s.loanSessions == nil {
		s.loanSessions = make(map[unit.Shard]loanSession)
	}
	s.loanSessions[request.Borrower] = loanSession{request.BorrowerEpoch, request.Sequence}
	// A borrower that names another epoch has not seen a reply of this owner. A
	// former owner of the borrower may have sent the request, and a later one may
	// use the executors that it returns.
	if request.LenderEpoch == s.Epoch {
		for _, r := range request.Returns {
			s.takeBack(request.Borrower, r)
		}
		s.lend(now, request)
	}
	reply := LoanReply{Epoch: s.Epoch}
	reply.Loads, _ = s.serviceLoads(now)
	for _, l := range s.loans.All() {
		if l.Lent && l.Borrower == request.Borrower {
			reply.Loans = append(reply.Loans, l.Loan)
		}
	}
	return reply, true
}

// takeBack ends a loan. The executor is not used before this is stored: otherwise,
// after a takeover of both shards, the borrower would use it again, with fencing
// tokens below those of this owner.
func (s *Shard) takeBack(borrower unit.Shard, r Loan) {
	l := s.loans.Get(r.Executor)
	if l == nil || !l.Lent || l.Borrower != borrower {
		return
	}
	l.Lent, l.TokenBase, l.dirty, l.returning = false, r.TokenBase, true, true
}

// lend lends executors to the borrower of a request, or returns some that were
// borrowed from it. Those with runs are vacated first, for a later request.
func (s *Shard) lend(now clock.Millis, request *LoanRequest) {
	own, ownWants := s.serviceLoads(now)
	for i := range request.Loads {
		theirs := request.Loads[i]
		k := slices.IndexFunc(own, func(l ServiceLoad) bool { return l.Service == theirs.Service })
		if k < 0 {
			continue
		}
		mine := own[k]
		wants := slices.DeleteFunc(slices.Clone(request.Wants), func(w LoanWant) bool { return w.Service != theirs.Service })
		balancing := theirs.share(0) > mine.share(0)+minImbalance
		waiting := slices.ContainsFunc(ownWants, func(w LoanWant) bool { return w.Service == theirs.Service })
		granted := 0
		for _, id := range s.lendable(now, theirs.Service, request.Borrower) {
			if granted == maxLoansPerReply {
				break
			}
			e := s.executors.Get(id)
			c := e.Capacity.CPU
			if !balancing || theirs.share(c) < mine.share(-c) {
				w := slices.IndexFunc(wants, func(w LoanWant) bool {
					return w.Size.Fits(e.Capacity) && (w.Needs == "" || e.hasLabel(w.Needs))
				})
				if w < 0 || waiting || mine.share(-c) > maxLenderLoad {
					continue
				}
				wants = slices.Delete(wants, w, w+1)
			}
			mine.Capacity, theirs.Capacity = mine.Capacity-c, theirs.Capacity+c
			granted++
			s.lendOrVacate(now, id, request.Borrower)
		}
	}
}

// lendable returns the executors of a service that may be lent to a shard:
// serviceable ones without perpetual tasks whose home is this shard or the
// borrower. Those come first that are vacated already, then those with the least
// processor time in use.
func (s *Shard) lendable(now clock.Millis, service unit.Service, borrower unit.Shard) []unit.Executor {
	var candidates []*Executor
	for id, e := range s.executors.All() {
		if b := s.borrowed.Get(id); b != nil && b.lender != borrower {
			continue
		}
		if e.Service == service && e.registered && e.serviceable(now) && e.perpetualCPU == 0 {
			candidates = append(candidates, e)
		}
	}
	slices.SortFunc(candidates, func(a, b *Executor) int {
		if x, y := now < a.vacatingUntil, now < b.vacatingUntil; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.allocated.CPU+a.bestEffortCPU, b.allocated.CPU+b.bestEffortCPU), cmp.Compare(a.Executor, b.Executor))
	})
	ids := make([]unit.Executor, len(candidates))
	for i, e := range candidates {
		ids[i] = e.Executor
	}
	return ids
}

// lendOrVacate lends an executor that has no runs, no unacknowledged ends and no
// hold in flight. Otherwise it keeps new runs from it and moves those that can
// continue elsewhere from a checkpoint.
func (s *Shard) lendOrVacate(now clock.Millis, id unit.Executor, borrower unit.Shard) {
	e := s.executors.Get(id)
	if len(e.runs) > 0 || e.holdInFlight || e.acknowledgedEndNumber != e.processedEndNumber {
		e.vacatingUntil = now.Add(vacatePeriod)
		for tid := range e.runs {
			_, st, t := s.findTask(tid)
			if t != nil && t.State == TaskRunning && t.confirmedAt > 0 && st.SavesProgress && t.Checkpoint != "" {
				s.moveRun(tid, t, e, "executor is lent")
			}
		}
		return
	}
	if s.borrowed.Get(id) != nil {
		s.giveBack(now, id)
		return
	}
	s.loans.Put(id, homeLoan{Loan: Loan{Executor: id, TokenBase: s.nextTokenBase(id), Lent: true, Borrower: borrower}, dirty: true})
	s.executors.Delete(id)
	s.report(Event{Kind: "executorLent", Executor: id})
}

// collectLoans returns the changes of loans for the next append.
func (s *Shard) collectLoans() []Change {
	var changes []Change
	for _, l := range s.loans.All() {
		if l.dirty {
			l.dirty, l.storing = false, l.returning
			changes = append(changes, Change{Loan: &l.Loan})
		}
	}
	for _, id := range s.expiredLoans {
		changes = append(changes, Change{Loan: &Loan{Executor: id}, Drop: true})
	}
	s.expiredLoans = nil
	return changes
}

// handleStoredLoans makes the executors usable whose return is stored.
func (s *Shard) handleStoredLoans() {
	for id, l := range s.loans.All() {
		if l.storing {
			l.storing, l.returning = false, false
			s.gained = append(s.gained, id)
		}
	}
}

// expireLoans drops the records of executors that were returned and have had no
// entry for loanRetention.
func (s *Shard) expireLoans(now clock.Millis) {
	s.loans.DeleteFunc(func(id unit.Executor, l *homeLoan) bool {
		switch {
		case l.Lent || l.dirty || l.returning || s.executors.Get(id) != nil:
			l.absentSince = 0
		case l.absentSince == 0:
			l.absentSince = now
		case now >= l.absentSince.Add(loanRetention):
			s.expiredLoans = append(s.expiredLoans, id)
			return true
		}
		return false
	})
}
