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
	// maxVacateTime is how long an executor is kept free of new runs for a loan. A
	// longer run there would keep it idle for others.
	maxVacateTime = 5 * clock.Second
	// vacateRetryDelay is the delay after which an executor is chosen again that
	// could not be vacated within maxVacateTime.
	vacateRetryDelay = 10 * clock.Second
	// minLoanTime is how long a borrowed executor is kept, so that it is there for
	// the tasks for which it was requested.
	minLoanTime = 5 * clock.Second
	// maxWants bounds the wants in a request.
	maxWants = 8
	// loadAge is the age up to which computed loads are used again.
	loadAge = 100 * clock.Millisecond
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

	// BorrowerEpoch is the highest epoch of the owners of the borrower that may know
	// of the loan. Requests of earlier owners, which may still return the executor,
	// are refused, also by a later owner of the home shard.
	BorrowerEpoch unit.Generation `cbor:"5,keyasint,omitempty"`
}

// homeLoan is a row of the table of executors of this shard that are lent or
// were lent before.
type homeLoan struct {
	Loan
	dirty       bool         // differs from the store
	storing     bool         // is in the append in flight
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

// before reports whether s is of an earlier epoch or request than t.
func (s loanSession) before(t loanSession) bool {
	return s.epoch < t.epoch || s.epoch == t.epoch && s.sequence < t.sequence
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

// LoanWant describes tasks that have waited for loanWaitTimeout, and that would not
// fit on the executors of their shard without the batch tasks there, or of whose
// job no task runs.
type LoanWant struct {
	Service unit.Service   `cbor:"1,keyasint"`
	Size    unit.Resources `cbor:"2,keyasint"` // of one task
	Needs   unit.Label     `cbor:"3,keyasint,omitempty"`
	Count   int            `cbor:"4,keyasint,omitempty"` // executors that would be enough
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
	// A returned executor is used only once the return is stored. Otherwise, after a
	// takeover of both shards, the borrower would use it again, with fencing tokens
	// below those of this owner.
	if l := s.loans.Get(id); l != nil && (l.Lent || l.dirty || l.storing) {
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
func (s *Shard) RestoreLoan(l Loan) {
	s.loans.Put(l.Executor, homeLoan{Loan: l})
	if l.Lent && l.BorrowerEpoch > s.loanSessions[l.Borrower].epoch {
		s.setLoanSession(l.Borrower, loanSession{epoch: l.BorrowerEpoch})
	}
}

// setLoanSession sets the last request of a borrower.
func (s *Shard) setLoanSession(borrower unit.Shard, session loanSession) {
	if s.loanSessions == nil {
		s.loanSessions = make(map[unit.Shard]loanSession)
	}
	s.loanSessions[borrower] = session
}

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

// serviceLoads returns the load of each service, and the tasks for which executors
// of other shards are needed.
func (s *Shard) serviceLoads(now clock.Millis) ([]ServiceLoad, []LoanWant) {
	if s.loadsAt == 0 || now >= s.loadsAt.Add(loadAge) {
		s.loads, s.wants = s.computeLoads(now)
		s.loadsAt = now
	}
	return s.loads, s.wants
}

func (s *Shard) computeLoads(now clock.Millis) (loads []ServiceLoad, wants []LoanWant) {
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
			l.Demand += e.perpetual.CPU
		}
	}
	for k, since := range s.readySteps {
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() {
			continue
		}
		step := &j.Spec.Steps[k.step]
		tasks := j.Occurrences[k.occurrence].Steps[k.step].Tasks
		ready := 0
		for i := range tasks {
			if tasks[i].State == TaskReady {
				ready++
			}
		}
		if ready == 0 {
			continue
		}
		l := load(s.queue(j).Service)
		if step.Perpetual && s.suits(now, l.Service, step) {
			l.Demand += unit.MilliCPU(ready) * step.Size.CPU
		}
		age := now.Sub(since)
		if age < loanWaitTimeout || s.canHold(now, k, l.Service, step) && !s.isStarved(now, k, j) && !(step.Perpetual && age >= starvationTimeout) {
			continue // batch tasks end, but a perpetual one may wait for the reserve for batch tasks forever
		}
		want := LoanWant{Service: l.Service, Size: step.Size, Needs: step.Needs, Count: 1}
		if step.Gang {
			want.Count = step.Count
		}
		if len(wants) < maxWants && !slices.Contains(wants, want) {
			wants = append(wants, want)
		}
	}
	return loads, wants
}

// suits reports whether an executor of a service could hold a task of a step if
// it had no other tasks.
func (s *Shard) suits(now clock.Millis, service unit.Service, step *Step) bool {
	for _, e := range s.executors.All() {
		if e.Service == service && e.serviceable(now) && step.Size.Fits(e.Capacity) && (step.Needs == "" || e.hasLabel(step.Needs)) {
			return true
		}
	}
	return false
}

// canHold reports whether a task of a step, or all tasks of a gang, would fit on
// the executors of a service without the tasks there that are not perpetual.
func (s *Shard) canHold(now clock.Millis, k stepKey, service unit.Service, step *Step) bool {
	missing := 1
	if step.Gang {
		missing = step.Count
	}
	demand := step.demand()
	for _, e := range s.executors.All() {
		if e.Service != service || !e.serviceable(now) || step.Needs != "" && !e.hasLabel(step.Needs) {
			continue
		}
		allowed := missing
		if step.MaxPerExecutor > 0 {
			allowed = min(allowed, step.MaxPerExecutor-e.countRuns(k))
		}
		for free := e.Capacity.Sub(e.perpetual); allowed > 0 && demand.Fits(free); allowed-- {
			free = free.Sub(demand)
			missing--
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
	s.loadsAt = 0
}

// HandleLoanReply applies the reply to a request of [Shard.Tick]. reply is nil if
// the request was refused or its outcome is unknown.
func (s *Shard) HandleLoanReply(now clock.Millis, request *LoanRequest, reply *LoanReply) {
	l := s.lenders[request.Lender]
	if l == nil || l.sequence != request.Sequence {
		return
	}
	l.inFlight, l.nextAt = false, now.Add(loanInterval)
	if reply == nil || reply.Epoch < l.epoch {
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
	session, last := loanSession{request.BorrowerEpoch, request.Sequence}, s.loanSessions[request.Borrower]
	if !last.before(session) {
		return LoanReply{}, false
	}
	s.setLoanSession(request.Borrower, session)
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
			// The reply to a new owner of the borrower thus follows an append, which fails
			// if this owner was replaced and its list is outdated.
			if l.BorrowerEpoch != request.BorrowerEpoch {
				l.BorrowerEpoch, l.dirty = request.BorrowerEpoch, true
			}
			reply.Loans = append(reply.Loans, l.Loan)
		}
	}
	return reply, true
}

// takeBack ends a loan.
func (s *Shard) takeBack(borrower unit.Shard, r Loan) {
	l := s.loans.Get(r.Executor)
	if l == nil || !l.Lent || l.Borrower != borrower {
		return
	}
	// A repeated return may be older than the loan, so its base may be lower.
	l.Lent, l.TokenBase, l.dirty = false, max(l.TokenBase, r.TokenBase), true
	s.loadsAt = 0
}

// lend lends executors to the borrower of a request. Borrowed executors go back to
// their home shard, which may lend them to the borrower. Those with runs are
// vacated first, for a later request.
func (s *Shard) lend(now clock.Millis, request *LoanRequest) {
	loads, _ := s.serviceLoads(now)
	own := slices.Clone(loads)
	for _, theirs := range request.Loads {
		i := slices.IndexFunc(own, func(l ServiceLoad) bool { return l.Service == theirs.Service })
		if i < 0 {
			continue
		}
		wants := slices.DeleteFunc(slices.Clone(request.Wants), func(w LoanWant) bool { return w.Service != theirs.Service })
		s.lendOfService(now, request, own[i], theirs, wants)
	}
}

// lendOfService lends executors of one service as long as that levels the loads of
// both shards, and for the wants of the borrower.
func (s *Shard) lendOfService(now clock.Millis, request *LoanRequest, own, theirs ServiceLoad, wants []LoanWant) {
	withBatch := own // batch tasks are not levelled, so their share stays here
	if r := s.reserves[own.Service]; r != nil {
		withBatch.Demand += r.peak
	}
	balancing := theirs.share(0) > withBatch.share(0)+minImbalance
	granted := 0
	for _, id := range s.lendable(now, theirs.Service) {
		if granted == maxLoansPerReply {
			return
		}
		if slices.ContainsFunc(request.Returns, func(r Loan) bool { return r.Executor == id }) {
			continue // the borrower would return it again until a reply without it arrives
		}
		e := s.executors.Get(id)
		c := e.Capacity.CPU
		if own.Capacity <= c && s.hasOpenJobs(theirs.Service) {
			return // without executors, the jobs here would request one back
		}
		if !balancing || theirs.share(c) < withBatch.share(-c) {
			w := slices.IndexFunc(wants, func(w LoanWant) bool {
				return w.Count > 0 && w.Size.Fits(e.Capacity) && (w.Needs == "" || e.hasLabel(w.Needs))
			})
			if w < 0 || own.share(-c) > maxLenderLoad {
				continue
			}
			wants[w].Count--
		}
		if s.lendOrVacate(now, id, request) {
			own.Capacity, theirs.Capacity = own.Capacity-c, theirs.Capacity+c
			withBatch.Capacity = own.Capacity
			granted++
		}
	}
}

// hasOpenJobs reports whether there are open jobs whose tasks run on executors of
// a service.
func (s *Shard) hasOpenJobs(service unit.Service) bool {
	for _, j := range s.jobs.All() {
		if !j.State.Ended() && s.queue(j).Service == service {
			return true
		}
	}
	return false
}

// lendable returns the executors of a service that may be lent or given back:
// serviceable ones without perpetual tasks and reservations. Those come first that
// are vacated already, then those with the least processor time in use.
func (s *Shard) lendable(now clock.Millis, service unit.Service) []unit.Executor {
	var candidates []*Executor
	for id, e := range s.executors.All() {
		if b := s.borrowed.Get(id); b != nil && now < b.borrowedAt.Add(minLoanTime) {
			continue
		}
		if e.Service == service && e.registered && e.serviceable(now) && e.perpetual.CPU == 0 && e.reservedCPU == 0 && now >= e.notLentBefore {
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
// hold in flight, or returns it if it is borrowed. Any other is vacated. It returns
// false if that took too long before.
func (s *Shard) lendOrVacate(now clock.Millis, id unit.Executor, request *LoanRequest) bool {
	e := s.executors.Get(id)
	if len(e.runs) > 0 || e.holdInFlight || e.acknowledgedEndNumber != e.processedEndNumber {
		return s.vacate(now, e)
	}
	s.loadsAt = 0
	if s.borrowed.Get(id) != nil {
		s.giveBack(now, id)
		return true
	}
	s.loans.Put(id, homeLoan{dirty: true, Loan: Loan{
		Executor: id, TokenBase: s.nextTokenBase(id), Lent: true, Borrower: request.Borrower, BorrowerEpoch: request.BorrowerEpoch,
	}})
	s.executors.Delete(id)
	s.report(Event{Kind: "executorLent", Executor: id})
	return true
}

// vacate keeps new runs from an executor and moves those that can continue
// elsewhere from a checkpoint. It returns false and gives up after maxVacateTime.
func (s *Shard) vacate(now clock.Millis, e *Executor) bool {
	if now >= e.vacatingUntil {
		e.vacatingSince = now
	}
	if now >= e.vacatingSince.Add(maxVacateTime) {
		e.vacatingUntil, e.notLentBefore = 0, now.Add(vacateRetryDelay)
		return false
	}
	e.vacatingUntil = now.Add(vacatePeriod)
	for id := range e.runs {
		_, st, t := s.findTask(id)
		if t != nil && t.State == TaskRunning && t.confirmedAt > 0 && st.SavesProgress && !st.Gang && t.Checkpoint != "" {
			s.moveRun(id, t, e, "executor is lent")
		}
	}
	return true
}

// collectLoans returns the changes of loans for the next append.
func (s *Shard) collectLoans() []Change {
	var changes []Change
	for _, id := range s.expiredLoans {
		changes = append(changes, Change{Loan: &Loan{Executor: id}, Drop: true})
	}
	s.expiredLoans = nil
	for _, l := range s.loans.All() {
		if l.dirty {
			l.dirty, l.storing = false, true
			changes = append(changes, Change{Loan: &l.Loan})
		}
	}
	return changes
}

// hasLoansToStore reports whether the store lacks changes of loans.
func (s *Shard) hasLoansToStore() bool {
	for _, l := range s.loans.All() {
		if l.dirty {
			return true
		}
	}
	return len(s.expiredLoans) > 0
}

// handleLoansStored records that the loans of the last append are in the store.
// Executors that were returned may now be used.
func (s *Shard) handleLoansStored() {
	for id, l := range s.loans.All() {
		if l.storing && !l.Lent && !l.dirty {
			s.gained = append(s.gained, id)
		}
		l.storing = false
	}
}

// expireLoans drops the records of executors that were returned and have had no
// entry for loanRetention.
func (s *Shard) expireLoans(now clock.Millis) {
	s.loans.DeleteFunc(func(id unit.Executor, l *homeLoan) bool {
		switch {
		case l.Lent || l.dirty || l.storing || s.executors.Get(id) != nil:
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
