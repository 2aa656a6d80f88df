package dispatch

import (
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// loanFixture has several shards with epoch 1 that share executors of a service.
// Requests for loans are delivered and replied to at once.
type loanFixture struct {
	shards   []*fixture
	entries  []Registration
	homes    map[unit.Executor]unit.Shard
	requests int // number of requests for loans
}

// newLoanFixture returns a fixture in which shard i is the home of counts[i]
// executors. All are reconciled, and each has its id as a label.
func newLoanFixture(counts ...int) *loanFixture {
	lf := &loanFixture{shards: make([]*fixture, len(counts)), homes: make(map[unit.Executor]unit.Shard)}
	runs := make(map[unit.Executor]map[TaskID]unit.Run)
	for shard, count := range counts {
		for range count {
			id := unit.Executor("x" + strconv.Itoa(len(lf.entries)))
			runs[id], lf.homes[id] = make(map[TaskID]unit.Run), unit.Shard(shard)
			lf.entries = append(lf.entries, Registration{
				Executor: id, Service: "s", Address: "a", Incarnation: 1, Labels: []unit.Label{unit.Label(id)},
				Capacity: unit.Resources{CPU: 8000, Memory: 16000},
			})
		}
	}
	for i := range lf.shards {
		lf.shards[i] = &fixture{now: 1000, runs: runs, tailLatency: 10}
		lf.takeOver(unit.Shard(i), 1)
		lf.shards[i].runFor(100)
	}
	return lf
}

// takeOver replaces the owner of a shard by one that has only stored loans.
func (lf *loanFixture) takeOver(id unit.Shard, epoch unit.Generation, loans ...Loan) {
	f := lf.shards[id]
	f.loanRequests, f.shard = nil, Shard{ID: id, Epoch: epoch, Shards: len(lf.shards), Limits: DefaultLimits}
	for _, l := range loans {
		f.shard.RestoreLoan(l)
	}
	f.shard.ApplyRegistrations(f.now, Registrations{Complete: true, Entries: lf.entries}, lf.homeOf(id))
	f.shard.StartOwnership(f.now)
}

// homeOf returns a function that reports whether a shard is the home of an
// executor.
func (lf *loanFixture) homeOf(id unit.Shard) func(unit.Executor) bool {
	return func(x unit.Executor) bool { return lf.homes[x] == id }
}

// runFor advances the time of all shards in steps of 20 ms.
func (lf *loanFixture) runFor(span clock.Span) {
	for range span / 20 {
		for _, f := range lf.shards {
			lf.registerGained(f)
			f.runFor(20)
		}
		for _, f := range lf.shards {
			requests := f.loanRequests
			f.loanRequests = nil
			for _, r := range requests {
				lf.deliver(f, r)
			}
		}
	}
}

// registerGained passes the entries of gained executors to a shard.
func (lf *loanFixture) registerGained(f *fixture) {
	gained := f.shard.Gained()
	entries := slices.DeleteFunc(slices.Clone(lf.entries), func(r Registration) bool { return !slices.Contains(gained, r.Executor) })
	f.shard.ApplyRegistrations(f.now, Registrations{Entries: entries}, lf.homeOf(f.shard.ID))
}

// deliver passes a request to its lender, which stores its changes, and the reply
// to the borrower.
func (lf *loanFixture) deliver(borrower *fixture, r *LoanRequest) {
	lf.requests++
	lender := lf.shards[r.Lender]
	reply, ok := lender.shard.HandleLoanRequest(lender.now, r)
	lender.runFor(20)
	if !ok {
		borrower.shard.HandleLoanReply(borrower.now, r, nil)
		return
	}
	borrower.shard.HandleLoanReply(borrower.now, r, &reply)
}

// used returns the number of executors that a shard uses.
func (lf *loanFixture) used(id unit.Shard) int {
	n := 0
	for x := range lf.homes {
		if lf.shards[id].shard.uses(x, lf.homeOf(id)) {
			n++
		}
	}
	return n
}

// submit submits a job to a shard.
func (lf *loanFixture) submit(id unit.Shard, job unit.Job, steps ...Step) {
	lf.shards[id].submit(job, steps...)
}

// newLoanRequest returns a request of shard 1 to shard 0 for a perpetual task.
func newLoanRequest(sequence int64) *LoanRequest {
	return &LoanRequest{
		Lender: 0, Borrower: 1, BorrowerEpoch: 2, LenderEpoch: 1, Sequence: sequence,
		Loads: []ServiceLoad{{Service: "s", Demand: 1000}},
	}
}

// TestStaleLoanRequests guards against requests of a replaced borrower, or ones
// that arrive late, that return executors which a later owner uses.
func TestStaleLoanRequests(t *testing.T) {
	for name, c := range map[string]struct {
		epoch     unit.Generation
		sequence  int64
		newLender bool // the owner of the lender is replaced before the request
		want      bool
	}{
		"next":                         {2, 101, false, true},
		"duplicate":                    {2, 100, false, false},
		"late":                         {2, 99, false, false},
		"replaced borrower":            {1, 200, false, false},
		"next borrower":                {3, 1, false, true},
		"same borrower, new lender":    {2, 101, true, true},
		"replaced one, new lender":     {1, 200, true, false},
		"next borrower and new lender": {3, 1, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lf := newLoanFixture(1, 0)
			f := lf.shards[0]
			reply, ok := f.shard.HandleLoanRequest(f.now, newLoanRequest(100))
			is.True(ok && len(reply.Loans) == 1) // the executor is lent
			f.runFor(100)
			if c.newLender {
				lf.takeOver(0, 4, reply.Loans...)
			}
			r := newLoanRequest(c.sequence)
			r.BorrowerEpoch = c.epoch
			_, ok = f.shard.HandleLoanRequest(f.now, r)
			is.Equal(ok, c.want)
		})
	}
}

// TestReturnToReplacedLender guards against a return that is applied by an owner
// of the lender of which the borrower has no reply yet.
func TestReturnToReplacedLender(t *testing.T) {
	for name, c := range map[string]struct {
		lenderEpoch unit.Generation // named in the request
		lent        bool            // still lent after the request
	}{
		"current owner":  {4, false},
		"replaced owner": {1, true},
		"no reply yet":   {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lf := newLoanFixture(1, 0)
			lf.takeOver(0, 4, Loan{Executor: "x0", TokenBase: 4096, Lent: true, Borrower: 1, BorrowerEpoch: 2})
			f := lf.shards[0]
			_, ok := f.shard.HandleLoanRequest(f.now, &LoanRequest{
				Borrower: 1, BorrowerEpoch: 2, LenderEpoch: c.lenderEpoch, Sequence: 1, Returns: []Loan{{Executor: "x0", TokenBase: 8192}},
			})
			is.True(ok)
			_, lent := f.shard.Borrower("x0")
			is.Equal(lent, c.lent)
		})
	}
}

// TestLentExecutors guards against an executor that is lent while its home shard
// may still have a run on it, and against orders of the home shard after that.
func TestLentExecutors(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(e *Executor)
		lent    bool
	}{
		"idle":                  {func(*Executor) {}, true},
		"run":                   {func(e *Executor) { addTestRun(e, &Step{Size: resources(1000)}) }, false},
		"perpetual run":         {func(e *Executor) { addTestRun(e, &Step{Size: resources(1000), Perpetual: true}) }, false},
		"unknown run":           {func(e *Executor) { e.unknownRuns = 1 }, false},
		"hold in flight":        {func(e *Executor) { e.holdInFlight = true }, false},
		"end not stored":        {func(e *Executor) { e.processedEndNumber = 1 }, false},
		"end not acknowledged":  {func(e *Executor) { e.processedEndNumber, e.storedEndNumber = 1, 1 }, false},
		"end is acknowledged":   {func(e *Executor) { e.processedEndNumber, e.storedEndNumber, e.acknowledgedEndNumber = 1, 1, 1 }, true},
		"not reconciled":        {func(e *Executor) { e.reconciled = false }, false},
		"draining":              {func(e *Executor) { e.Draining = true }, false},
		"without an entry":      {func(e *Executor) { e.registered = false }, false},
		"silent":                {func(e *Executor) { e.unresponsive = true }, false},
		"vacated but not empty": {func(e *Executor) { e.holdInFlight, e.vacatingUntil = true, clock.Never }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lf := newLoanFixture(1, 0)
			f := lf.shards[0]
			c.prepare(f.shard.executors.Get("x0"))
			_, _ = f.shard.HandleLoanRequest(f.now, newLoanRequest(1))
			borrower, lent := f.shard.Borrower("x0")
			is.Equal(lent, c.lent)
			if !c.lent {
				return
			}
			is.Equal(borrower, unit.Shard(1))
			f.submit("j", Step{Count: 1, Size: resources(1000)})
			f.shard.ApplyRegistrations(f.now, Registrations{Complete: true, Entries: lf.entries}, lf.homeOf(0))
			for range 100 {
				f.now += 20
				_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
				f.shard.HandleStored(f.now)
				is.True(!slices.ContainsFunc(orders, func(o Order) bool { return o.To.Executor == "x0" })) // no orders to it
			}
		})
	}
}

// TestTokensRiseWithUsers guards against an executor that refuses the orders of its
// present user, because a former one has used a higher token.
func TestTokensRiseWithUsers(t *testing.T) {
	is := is.New(t)
	lf := newLoanFixture(1, 0)
	home, borrower := lf.shards[0], lf.shards[1]
	last := unit.Token(0)
	rises := func(f *fixture) {
		t.Helper()
		lf.registerGained(f)
		e := f.shard.executors.Get("x0")
		is.True(e != nil) // the shard uses the executor
		is.True(f.shard.token(e) > last)
		last = f.shard.token(e)
	}
	rises(home)
	steps := Step{Count: 1, Size: resources(1000), Perpetual: true}
	lf.submit(1, "j1", steps)
	lf.runFor(4 * clock.Second)
	rises(borrower)
	lf.takeOver(1, 2)
	lf.runFor(4 * clock.Second)
	rises(borrower)
	lf.submit(0, "j2", steps)
	lf.runFor(4 * clock.Second)
	rises(home)
	home.shard.Cancel(home.now, 0, "j2")
	lf.submit(1, "j3", steps)
	lf.runFor(4 * clock.Second)
	rises(borrower)
}

// TestRepeatedReturn guards against a token that falls because a borrower repeats
// the return of an earlier loan, whose reply was lost, after the next loan.
func TestRepeatedReturn(t *testing.T) {
	is := is.New(t)
	lf := newLoanFixture(1, 0)
	f := lf.shards[0]
	returns := []Loan{{Executor: "x0", TokenBase: 5000}}
	base := unit.Token(0)
	for i, c := range []struct {
		returns []Loan
		needs   bool // the borrower needs an executor
		lent    bool // after the request
	}{
		{nil, true, true},
		{returns, false, false},
		{returns, true, false}, // it would be returned once more
		{nil, true, true},
		{returns, false, false},
	} {
		r := newLoanRequest(int64(i) + 1)
		r.Returns = c.returns
		if !c.needs {
			r.Loads = nil
		}
		_, ok := f.shard.HandleLoanRequest(f.now, r)
		is.True(ok)
		f.runFor(100)
		lf.registerGained(f)
		f.runFor(100)
		_, lent := f.shard.Borrower("x0")
		is.Equal(lent, c.lent)
		is.True(f.shard.tokenBase("x0") >= base)
		base = f.shard.tokenBase("x0")
	}
}

// TestReturnIsStoredFirst guards against a home shard that uses a returned executor
// although its store has it as lent: the next owner would list it with a lower
// token base.
func TestReturnIsStoredFirst(t *testing.T) {
	is := is.New(t)
	lf := newLoanFixture(1, 0)
	lf.takeOver(0, 4, Loan{Executor: "x0", TokenBase: 4096, Lent: true, Borrower: 1, BorrowerEpoch: 2})
	f := lf.shards[0]
	_, ok := f.shard.HandleLoanRequest(f.now, &LoanRequest{
		Borrower: 1, BorrowerEpoch: 2, LenderEpoch: 4, Sequence: 1, Returns: []Loan{{Executor: "x0", TokenBase: 8192}},
	})
	is.True(ok)
	is.True(!f.shard.uses("x0", lf.homeOf(0))) // not stored
	changes, _ := f.shard.Tick(f.now, 0, true)
	is.Equal(slices.ContainsFunc(changes, func(c Change) bool { return c.Loan != nil && c.Loan.Executor == "x0" }), true)
	is.True(!f.shard.uses("x0", lf.homeOf(0))) // append in flight
	is.Equal(len(f.shard.Gained()), 0)
	f.shard.HandleStored(f.now)
	is.True(f.shard.uses("x0", lf.homeOf(0)))
	is.Equal(f.shard.Gained(), []unit.Executor{"x0"})
}

// TestLoanIsInNextAppend guards against a reply to a request, which follows the
// next append, before the loan is stored.
func TestLoanIsInNextAppend(t *testing.T) {
	is := is.New(t)
	lf := newLoanFixture(1, 0)
	f := lf.shards[0]
	_, _ = f.shard.HandleLoanRequest(f.now, newLoanRequest(1))
	for i := range maxChangesPerAppend + 1 {
		f.submit(unit.Job("j"+strconv.Itoa(i)), Step{Count: 1, Size: resources(1000)})
	}
	changes, _ := f.shard.Tick(f.now, 0, true)
	is.True(slices.ContainsFunc(changes, func(c Change) bool { return c.Loan != nil && c.Loan.Lent }))
}

// TestLoanRequestIntervals guards against needless requests of a shard that needs
// nothing, and against long waits of one whose tasks have no executor.
func TestLoanRequestIntervals(t *testing.T) {
	for name, c := range map[string]struct {
		step     Step
		min, max int // requests in 10 s
	}{
		"nothing to run":  {Step{}, 4, 6},
		"fits":            {Step{Count: 1, Size: resources(1000)}, 4, 6},
		"fits nowhere":    {Step{Count: 1, Size: resources(9000)}, 19, 26},
		"label of nobody": {Step{Count: 1, Size: resources(100), Needs: "none"}, 19, 26},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lf := newLoanFixture(2, 2)
			if c.step.Count > 0 {
				lf.submit(0, "j", c.step)
			}
			lf.runFor(4 * clock.Second)
			sent := int64(0)
			for _, l := range lf.shards[0].shard.lenders {
				sent -= l.sequence
			}
			lf.runFor(10 * clock.Second)
			for _, l := range lf.shards[0].shard.lenders {
				sent += l.sequence
			}
			is.True(int(sent) >= c.min && int(sent) <= c.max)
		})
	}
}

// TestLoansForWaitingTasks guards against tasks that wait in a shard while other
// shards have executors for them.
func TestLoansForWaitingTasks(t *testing.T) {
	small := Step{Count: 1, Size: resources(1000)}
	perpetual := func(count int, cpu unit.MilliCPU) Step {
		return Step{Count: count, Size: resources(cpu), Perpetual: true}
	}
	for name, c := range map[string]struct {
		counts []int
		busy   map[unit.Shard]Step // jobs that run before
		step   Step                // of a job of shard 0
	}{
		"label":                        {[]int{2, 3}, nil, Step{Count: 1, Size: resources(1000), Needs: "x3"}},
		"no executors":                 {[]int{0, 2}, nil, small},
		"no executors, gang":           {[]int{0, 3}, nil, Step{Count: 2, Size: resources(6000), Gang: true}},
		"perpetual, no executors":      {[]int{0, 2}, nil, perpetual(1, 1000)},
		"perpetual, full shard":        {[]int{1, 2}, map[unit.Shard]Step{0: perpetual(1, 7000)}, perpetual(1, 3000)},
		"lender has batch tasks":       {[]int{0, 3}, map[unit.Shard]Step{1: {Count: 2, Size: resources(1000)}}, perpetual(1, 3000)},
		"executors lent to a third":    {[]int{0, 2, 0}, map[unit.Shard]Step{2: perpetual(1, 3000)}, small},
		"perpetual beside own batch":   {[]int{1, 2}, map[unit.Shard]Step{0: {Count: 6, Size: resources(1000)}}, perpetual(1, 3000)},
		"label, perpetual, third home": {[]int{0, 1, 3}, nil, Step{Count: 2, Size: resources(1000), Needs: "x2", Perpetual: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lf := newLoanFixture(c.counts...)
			for shard, step := range c.busy {
				lf.submit(shard, unit.Job("b"+strconv.Itoa(int(shard))), step)
			}
			lf.runFor(8 * clock.Second)
			lf.submit(0, "j", c.step)
			lf.runFor(12 * clock.Second)
			is.Equal(lf.shards[0].countRuns("j"), c.step.Count)
		})
	}
}

// TestThirdShardGivesBack guards against a shard without executors whose tasks wait
// because a second shard keeps idle executors that it borrowed from a third.
func TestThirdShardGivesBack(t *testing.T) {
	is := is.New(t)
	lf := newLoanFixture(2, 0, 0)
	lf.submit(1, "j1", Step{Count: 2, Size: resources(5000), Perpetual: true})
	lf.runFor(8 * clock.Second)
	is.Equal(lf.used(1), 2)
	lf.shards[1].shard.Cancel(lf.shards[1].now, 0, "j1")
	lf.runFor(4 * clock.Second)
	lf.submit(2, "j2", Step{Count: 1, Size: resources(1000)})
	lf.runFor(10 * clock.Second)
	is.Equal(lf.shards[2].countRuns("j2"), 1)
}

// TestLastExecutorStays guards against batch tasks that are moved over and over,
// because the only executor of their shard is lent to level the loads.
func TestLastExecutorStays(t *testing.T) {
	is := is.New(t)
	lf := newLoanFixture(1, 1)
	lf.submit(0, "j0", Step{Count: 1, Size: resources(1000), SavesProgress: true})
	lf.runFor(clock.Second)
	lf.shards[0].shard.jobs.Get("j0").task(TaskID{Job: "j0"}).Checkpoint = "c"
	lf.submit(1, "j1", Step{Count: 1, Size: resources(7000), Perpetual: true})
	lf.runFor(20 * clock.Second)
	is.Equal(lf.used(0), 1)
	is.Equal(lf.shards[0].shard.jobs.Get("j0").task(TaskID{Job: "j0"}).Run, unit.Run(1))
}

// TestLoadsAreLevelled guards against shards whose loads stay apart, and against
// executors that move to and fro once the loads are level.
func TestLoadsAreLevelled(t *testing.T) {
	for name, counts := range map[string][]int{
		"two shards":   {4, 12},
		"three shards": {2, 8, 8},
		"none at home": {0, 9, 9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lf := newLoanFixture(counts...)
			lf.submit(0, "j0", Step{Count: 16, Size: resources(2000), Perpetual: true})
			lf.submit(1, "j1", Step{Count: 4, Size: resources(2000), Perpetual: true})
			lf.runFor(clock.Minute)
			is.Equal(lf.shards[0].countRuns("j0"), 16)
			is.Equal(lf.shards[1].countRuns("j1"), 4)
			moves := 0
			for _, f := range lf.shards {
				f.shard.Report = func(e Event) {
					if e.Kind == "executorLent" || e.Kind == "executorReturned" {
						moves++
					}
				}
			}
			lf.runFor(clock.Minute)
			is.Equal(moves, 0)
		})
	}
}

// TestRestartsAreKept guards against a lower fencing token for an executor that has
// restarted, lost its entry and comes back.
func TestRestartsAreKept(t *testing.T) {
	is := is.New(t)
	lf := newLoanFixture(1, 1)
	f := lf.shards[0]
	lf.entries[0].Incarnation = 2
	list := func() {
		f.shard.ApplyRegistrations(f.now, Registrations{Complete: true, Entries: lf.entries}, lf.homeOf(0))
	}
	list()
	token := f.shard.token(f.shard.executors.Get("x0"))
	f.shard.executors.Get("x0").reconciled = true
	f.shard.ApplyRegistrations(f.now, Registrations{Complete: true}, lf.homeOf(0))
	for range 300 {
		f.now += 20
		_, _ = f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
		f.shard.HandleStored(f.now)
		if e := f.shard.executors.Get("x0"); e != nil {
			e.holdInFlight = false
		}
	}
	is.True(f.shard.executors.Get("x0") == nil) // the row was dropped
	list()
	is.True(f.shard.token(f.shard.executors.Get("x0")) >= token)
}

// addTestRun assigns the first run of a task of a job without a row to e.
func addTestRun(e *Executor, step *Step) {
	e.addRun(assignment{TaskID{Job: "j"}, 1, new(Job), step, new(Task)})
}
