package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// calmPeriod is the time without moves of executors after which the shards count
// as settled.
const calmPeriod = 10 * clock.Second

// TestTasksGetExecutorsOfOtherShards guards against tasks that wait while another
// shard has idle executors for them, and against executors that then move to and
// fro. Executors of shard 0 have the label a, those of shard 1 the label b.
func TestTasksGetExecutorsOfOtherShards(t *testing.T) {
	wholeMemory := Step{Count: 1, Size: unit.Resources{CPU: 200, Memory: 16000}, Perpetual: true}
	small := unit.Resources{CPU: 1000, Memory: 16000}
	var labelNowhere []Step // more than one request names
	for i := range 2 * maxWants {
		labelNowhere = append(labelNowhere, Step{Count: 1, Size: resources(unit.MilliCPU(100 * (i + 1))), Needs: "z"})
	}
	for name, c := range map[string]struct {
		executors   [2]int
		capacity    unit.Resources // of the executors of shard 0, lendableCapacity if it is zero
		present     [2][]Step      // run before the jobs are submitted
		unplaceable []Step         // fit on no executor
		jobs        []Step         // of shard 0, each is a job of its own
	}{
		"perpetual": {
			executors: [2]int{1, 3},
			jobs:      []Step{{Count: 4, Size: resources(4000), Perpetual: true}},
		},
		"batch job in a shard that is full of batch tasks": {
			executors: [2]int{2, 4},
			present:   [2][]Step{{{Count: 2, Size: resources(8000)}}},
			jobs:      []Step{{Count: 1, Size: resources(4000)}},
		},
		"anti-affinity": {
			executors: [2]int{2, 4},
			jobs:      []Step{{Count: 3, Size: resources(100), Perpetual: true, MaxPerExecutor: 1}},
		},
		"memory": {
			executors: [2]int{2, 4},
			jobs:      []Step{wholeMemory, wholeMemory, wholeMemory},
		},
		"label": {
			executors: [2]int{3, 4},
			present:   [2][]Step{1: {{Count: 1, Size: resources(8000), Perpetual: true}, {Count: 1, Size: resources(8000), Perpetual: true}}},
			jobs:      []Step{{Count: 1, Size: resources(2000), Needs: "b"}},
		},
		"gang": {
			executors: [2]int{2, 8},
			jobs:      []Step{{Count: 4, Size: resources(8000), Gang: true}},
		},
		"gang with a lender of higher load": {
			executors: [2]int{2, 8},
			present:   [2][]Step{1: {{Count: 3, Size: resources(8000), Perpetual: true}}},
			jobs:      []Step{{Count: 4, Size: resources(8000), Gang: true}},
		},
		"gang with a label": {
			executors: [2]int{6, 8},
			present:   [2][]Step{1: {{Count: 2, Size: resources(8000), Perpetual: true}}},
			jobs:      []Step{{Count: 4, Size: resources(8000), Gang: true, Needs: "b"}},
		},
		"beside a job that fits nowhere": {
			executors: [2]int{1, 4}, capacity: small,
			unplaceable: []Step{{Count: 1, Size: resources(9000)}},
			jobs:        []Step{{Count: 1, Size: resources(4000)}},
		},
		"beside more jobs that fit nowhere than a request names": {
			executors: [2]int{1, 4}, capacity: small,
			unplaceable: labelNowhere,
			jobs:        []Step{{Count: 1, Size: resources(4000)}},
		},
		"several sizes": {
			executors: [2]int{1, 8}, capacity: small,
			jobs: []Step{
				{Count: 1, Size: resources(1500)},
				{Count: 1, Size: resources(3000)},
				{Count: 1, Size: resources(4500)},
				{Count: 1, Size: resources(6000)},
				{Count: 1, Size: resources(8000)},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			if c.capacity == (unit.Resources{}) {
				c.capacity = lendableCapacity
			}
			f.add(0, c.executors[0], c.capacity, "a", "r0")
			f.add(1, c.executors[1], lendableCapacity, "b", "r1")
			f.start(2)
			for shard, steps := range c.present {
				for i, step := range steps {
					id := unit.Job(fmt.Sprintf("present%d-%d", shard, i))
					f.submit(unit.Shard(shard), id, step)
					f.runFor(2 * clock.Second)
					is.Equal(len(f.runs(id)), step.Count)
				}
			}
			for i, step := range c.unplaceable {
				f.submit(0, unit.Job(fmt.Sprint("unplaceable", i)), step)
			}
			for i, step := range c.jobs {
				f.submit(0, unit.Job(fmt.Sprint("job", i)), step)
			}
			f.runFor(30 * clock.Second)
			for i, step := range c.jobs {
				is.Equal(len(f.runs(unit.Job(fmt.Sprint("job", i)))), step.Count)
			}
			f.runFor(calmPeriod)
			is.Equal(f.moves(calmPeriod), 0)
		})
	}
}

// TestExecutorsSettle guards against executors that move to and fro between shards
// while no job is submitted and none ends.
func TestExecutorsSettle(t *testing.T) {
	for name, c := range map[string]struct {
		executors []int    // of each shard
		steps     [][]Step // of each shard, each is a job of its own
	}{
		"without tasks": {executors: []int{1, 5}},
		"equal loads": {
			executors: []int{3, 3},
			steps:     [][]Step{{{Count: 3, Size: resources(3000), Perpetual: true}}, {{Count: 3, Size: resources(3000), Perpetual: true}}},
		},
		"executors too large for even loads": {
			executors: []int{2, 3},
			steps:     [][]Step{{{Count: 2, Size: resources(5000), Perpetual: true}}, {{Count: 1, Size: resources(5000), Perpetual: true}}},
		},
		"three shards": {
			executors: []int{2, 4, 6},
			steps:     [][]Step{{{Count: 8, Size: resources(3000), Perpetual: true}}, {{Count: 4, Size: resources(3000)}}},
		},
		"more demand than capacity": {
			executors: []int{3, 3},
			steps:     [][]Step{{{Count: 9, Size: resources(6000), Perpetual: true}}, {{Count: 9, Size: resources(6000), Perpetual: true}}},
		},
		"batch task with checkpoints": {
			executors: []int{2, 1},
			steps:     [][]Step{{{Count: 1, Size: resources(5000), SavesProgress: true}}, {{Count: 1, Size: resources(2000), Perpetual: true}}},
		},
		"batch tasks with checkpoints in one of three shards": {
			executors: []int{4, 3, 1},
			steps:     [][]Step{1: {{Count: 2, Size: resources(8000), SavesProgress: true}}, 2: {{Count: 3, Size: resources(3000), Perpetual: true}}},
		},
		"lender full of batch tasks": {
			executors: []int{24, 2, 2, 2},
			steps: [][]Step{
				{{Count: 24, Size: resources(3000)}},
				{{Count: 2, Size: resources(8000), Perpetual: true}, {Count: 1, Size: resources(4000), Perpetual: true}},
				{{Count: 2, Size: resources(8000), Perpetual: true}, {Count: 1, Size: resources(4000), Perpetual: true}},
				{{Count: 2, Size: resources(8000), Perpetual: true}, {Count: 1, Size: resources(4000), Perpetual: true}},
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			for shard, n := range c.executors {
				f.add(unit.Shard(shard), n, lendableCapacity, "a", "r0")
			}
			f.start(len(c.executors))
			f.runFor(clock.Second)
			for shard, steps := range c.steps {
				for i, step := range steps {
					f.submit(unit.Shard(shard), unit.Job(fmt.Sprintf("job%d-%d", shard, i)), step)
				}
			}
			f.runFor(30*clock.Second + calmPeriod)
			is.Equal(f.moves(calmPeriod), 0)
		})
	}
}

// TestUnplaceableStepsBorrowNothing guards against perpetual tasks that fit on no
// executor and take the executors of another shard, whose batch tasks then wait.
func TestUnplaceableStepsBorrowNothing(t *testing.T) {
	for name, step := range map[string]Step{
		"processors": {Count: 20, Size: resources(9000), Perpetual: true},
		"memory":     {Count: 20, Size: unit.Resources{CPU: 4000, Memory: 17000}, Perpetual: true},
		"label":      {Count: 20, Size: resources(4000), Perpetual: true, Needs: "z"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			f.add(0, 3, lendableCapacity, "a", "r0")
			f.add(1, 6, lendableCapacity, "b", "r1")
			f.start(2)
			f.submit(1, "service", Step{Count: 2, Size: resources(4000), Perpetual: true})
			f.runFor(clock.Second)
			f.submit(0, "unplaceable", step)
			f.runFor(10 * clock.Second)
			is.Equal(f.lentBy(1), 0)
			f.submit(1, "batch", Step{Count: 5, Size: resources(8000)})
			f.runFor(starvationTimeout + clock.Second)
			is.Equal(len(f.runs("batch")), 5)
		})
	}
}

// overloadBorrower fills shard 1 of three executors with perpetual tasks, so that
// it requests more executors than shard 0 can vacate.
func (f *lendingFixture) overloadBorrower() {
	f.submit(1, "borrower0", Step{Count: 3, Size: resources(8000), Perpetual: true})
	f.submit(1, "borrower1", Step{Count: 3, Size: resources(8000), Perpetual: true})
}

// TestExecutorsThatCannotBeVacatedTakeBatchTasks guards against executors with long
// runs that are kept free of new runs although they can't be lent.
func TestExecutorsThatCannotBeVacatedTakeBatchTasks(t *testing.T) {
	for name, step := range map[string]Step{
		"without checkpoints": {Count: 4, Size: resources(2000)},
		"gang":                {Count: 4, Size: resources(2000), Gang: true, SavesProgress: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			f.add(0, 4, lendableCapacity, "a", "r0")
			f.add(1, 3, lendableCapacity, "b", "r1")
			f.start(2)
			f.submit(0, "long", step)
			f.runFor(clock.Second)
			f.overloadBorrower()
			f.runFor(2 * clock.Second)
			is.True(f.vacating(0) > 0)
			// Batch tasks that come at any time run soon.
			for i := range 4 {
				id := unit.Job(fmt.Sprint("batch", i))
				f.submit(0, id, Step{Count: 4, Size: resources(500)})
				f.runFor(maxVacateTime + vacatePeriod)
				is.Equal(len(f.runs(id)), 4)
			}
		})
	}
}

// TestRestartsUseExecutorsThatAreVacated guards against a perpetual task of the
// lender that waits for an executor which is being vacated for another shard.
func TestRestartsUseExecutorsThatAreVacated(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(f *lendingFixture, x *lendableExecutor)
		bound clock.Span
	}{
		"drained": {func(f *lendingFixture, x *lendableExecutor) {
			x.registration.Draining, x.registration.TimeLeft = true, 30*clock.Second
			f.register(f.shards[0])
		}, clock.Second},
		"removed": {func(f *lendingFixture, x *lendableExecutor) { f.remove(x.registration.Executor) }, restartBound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			f.add(0, 4, lendableCapacity, "a", "r0")
			f.add(1, 3, lendableCapacity, "b", "r1")
			f.start(2)
			f.submit(0, "service", Step{Count: 1, Size: resources(4000), Perpetual: true})
			f.runFor(clock.Second)
			f.submit(0, "batch", Step{Count: 3, Size: resources(4000)})
			f.runFor(clock.Second)
			f.overloadBorrower()
			f.runFor(4 * clock.Second)
			is.True(f.vacating(0) > 0)
			c.leave(&f, f.executorOf("service"))
			is.True(f.executorOf("service") == nil)
			f.runFor(c.bound)
			is.True(f.executorOf("service") != nil)
		})
	}
}

// TestGangsAreNotMovedToVacate guards against a member of a gang that is moved so
// that its executor can be lent: the other members would have to start again.
func TestGangsAreNotMovedToVacate(t *testing.T) {
	for name, c := range map[string]struct {
		gang  bool
		moved bool
	}{
		"single tasks": {false, true},
		"gang":         {true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			f.add(0, 4, lendableCapacity, "a", "r0")
			f.add(1, 3, lendableCapacity, "b", "r1")
			f.start(2)
			f.submit(0, "batch", Step{Count: 4, Size: resources(2000), SavesProgress: true, Gang: c.gang})
			f.runFor(clock.Second)
			is.Equal(len(f.runs("batch")), 4)
			moved := false
			report := f.shards[0].Report
			f.shards[0].Report = func(e Event) {
				moved = moved || e.Kind == "moved"
				report(e)
			}
			f.overloadBorrower()
			vacated := false
			for range 30 {
				f.runFor(clock.Second)
				vacated = vacated || f.vacating(0) > 0 || f.lentBy(0) > 0
			}
			is.True(vacated)
			is.Equal(moved, c.moved)
		})
	}
}

// TestMovedBatchTasksRunAgain guards against batch tasks that are moved so that
// their executors can be lent, and then wait although the other shard has an idle
// executor.
func TestMovedBatchTasksRunAgain(t *testing.T) {
	is := is.New(t)
	var f lendingFixture
	f.add(0, 4, lendableCapacity, "a", "r0")
	f.add(1, 3, lendableCapacity, "b", "r1")
	f.start(2)
	f.submit(0, "batch", Step{Count: 4, Size: resources(2000), SavesProgress: true})
	f.runFor(clock.Second)
	is.Equal(len(f.runs("batch")), 4)
	f.overloadBorrower() // needs 6 of the 7 executors
	f.runFor(30 * clock.Second)
	is.Equal(len(f.runs("batch")), 4)
	is.Equal(len(f.runs("borrower0"))+len(f.runs("borrower1")), 6)
}

// TestReservedExecutorsAreNotLent guards against a loan of an executor on which a
// perpetual task that waits to run again has a reservation.
func TestReservedExecutorsAreNotLent(t *testing.T) {
	is := is.New(t)
	f := newFixture(3)
	f.shard.Shards = 2
	f.submit("service", Step{Count: 1, Size: resources(6000), Perpetual: true})
	f.runFor(3 * clock.Second)
	_, _, task := f.shard.findTask(TaskID{Job: "service"})
	f.submit("batch", Step{Count: 4, Size: resources(3000)})
	f.runFor(100)
	is.Equal(f.countRuns("batch"), 4)
	f.replacedExecutor = task.Executor
	clear(f.runs[task.Executor])
	f.runFor(clock.Second)
	var reserved []unit.Executor
	for id, e := range f.shard.executors.All() {
		if e.reservedCPU > 0 {
			reserved = append(reserved, id)
		}
	}
	is.Equal(len(reserved), 1)
	is.True(!slices.Contains(f.shard.lendable(f.now, "s"), reserved[0]))
	for sequence := range int64(10) {
		_, ok := f.shard.HandleLoanRequest(f.now, &LoanRequest{
			Borrower: 1, BorrowerEpoch: 1, LenderEpoch: f.shard.Epoch, Sequence: sequence + 1,
			Loads: []ServiceLoad{{Service: "s", Demand: 100_000}}, Wants: []LoanWant{{Service: "s", Size: resources(1000), Count: 3}},
		})
		is.True(ok)
		e := f.shard.executors.Get(reserved[0])
		is.True(e != nil)                 // not lent
		is.True(f.now >= e.vacatingUntil) // not vacated
		f.runFor(100)
	}
}

// TestRecreatedRowsKeepTokens guards against an owner that is fenced by its own
// orders: an executor remembers the tokens of before its row was dropped.
func TestRecreatedRowsKeepTokens(t *testing.T) {
	is := is.New(t)
	var f lendingFixture
	f.add(0, 1, lendableCapacity, "a", "r0")
	f.start(1)
	f.runFor(clock.Second)
	x := f.executors[0]
	x.reset()
	x.registration.Incarnation = 2
	f.register(f.shards[0])
	f.runFor(clock.Second)
	f.shards[0].ApplyRegistrations(f.now, Registrations{Removed: []unit.Executor{"a0"}}, f.inShard(0))
	f.runFor(reregistrationGrace + clock.Second)
	is.True(f.shards[0].executors.Get("a0") == nil)
	f.register(f.shards[0])
	f.submit(0, "job", Step{Count: 1, Size: resources(1000)})
	f.runFor(clock.Second)
	is.True(!f.shards[0].Fenced())
	is.Equal(len(f.runs("job")), 1)
}

// TestLateAnswersDoNotFence guards against an owner that releases its shard because
// of an order that it sent before its fencing token rose, and against such an order
// that is never repeated.
func TestLateAnswersDoNotFence(t *testing.T) {
	for name, raiseToken := range map[string]func(f *lendingFixture){
		"before a loan": func(f *lendingFixture) {
			f.lend("a0")
			f.shards[1].giveBack(f.now, "a0")
			f.runFor(clock.Second)
		},
		"before a restart": func(f *lendingFixture) {
			f.executors[0].reset()
			f.executors[0].registration.Incarnation = 2
			f.register(f.shards[0])
			f.runFor(clock.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			f.add(0, 1, lendableCapacity, "a", "r0")
			f.add(1, 1, lendableCapacity, "b", "r1")
			f.start(2)
			f.runFor(clock.Second)
			s := f.shards[0]
			earlier := s.token(s.executors.Get("a0"))
			raiseToken(&f)
			is.True(s.executors.Get("a0") != nil)
			is.True(s.token(s.executors.Get("a0")) > earlier)
			f.submit(0, "job", Step{Count: 1, Size: resources(1000)})
			var start *Order
			for range 100 {
				f.now += 20
				for _, o := range f.orders(s) {
					if o.Start != nil {
						start = &o
					} else {
						f.deliver(s, o)
					}
				}
				if start != nil {
					break
				}
			}
			is.True(start != nil)
			start.Start.Token = earlier
			answer := f.execute(f.executors[0], start)
			is.Equal(answer.Outcome, OutcomeFenced)
			s.HandleAnswer(f.now, unit.UnixMillis(f.now), start, &answer, nil)
			is.True(!s.Fenced())
			f.runFor(clock.Second)
			is.Equal(len(f.runs("job")), 1)
		})
	}
}

// TestCurrentTokenStillFences guards against an owner that goes on although an
// executor has received a higher token of another owner.
func TestCurrentTokenStillFences(t *testing.T) {
	is := is.New(t)
	var f lendingFixture
	f.add(0, 1, lendableCapacity, "a", "r0")
	f.start(1)
	f.runFor(clock.Second)
	f.executors[0].token = unit.Token(ownerEpoch+1) * tokensPerEpoch
	f.submit(0, "job", Step{Count: 1, Size: resources(1000)})
	f.runFor(clock.Second)
	is.True(f.shards[0].Fenced())
}

// loanRequest returns a request of shard 1 that borrows as many executors as it
// gets.
func loanRequest(lenderEpoch, epoch unit.Generation, sequence int64, returns ...Loan) *LoanRequest {
	return &LoanRequest{
		Borrower: 1, BorrowerEpoch: epoch, LenderEpoch: lenderEpoch, Sequence: sequence, Returns: returns,
		Loads: []ServiceLoad{{Service: "s", Demand: 1000}},
	}
}

// TestLoanRequestsInOrder guards against requests that are applied a second time or
// after those of a later owner, and against token bases that become lower.
func TestLoanRequestsInOrder(t *testing.T) {
	for name, c := range map[string]struct {
		epoch    unit.Generation
		sequence int64
		base     unit.Token // of the return; that of the loan is 2*tokensPerEpoch
		accepted bool
		returned bool
	}{
		"next request":                     {7, 3, 4 * tokensPerEpoch, true, true},
		"next request with a lower base":   {7, 3, 2*tokensPerEpoch - 1, true, true},
		"same sequence":                    {7, 2, 4 * tokensPerEpoch, false, false},
		"earlier sequence":                 {7, 1, 4 * tokensPerEpoch, false, false},
		"lower epoch":                      {6, 3, 4 * tokensPerEpoch, false, false},
		"higher epoch with a low sequence": {8, 1, 4 * tokensPerEpoch, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			f.shard.Shards = 2
			reply, ok := f.shard.HandleLoanRequest(f.now, loanRequest(f.shard.Epoch, 7, 2))
			is.True(ok)
			is.True(len(reply.Loans) > 0)
			f.runFor(100)
			before := len(reply.Loans)
			loan := reply.Loans[0]
			r := loanRequest(f.shard.Epoch, c.epoch, c.sequence, Loan{Executor: loan.Executor, TokenBase: c.base})
			r.Loads = nil
			reply, ok = f.shard.HandleLoanRequest(f.now, r)
			is.Equal(ok, c.accepted)
			row := f.shard.loans.Get(loan.Executor)
			is.Equal(row.Lent, !c.returned)
			is.True(row.TokenBase >= loan.TokenBase)
			if c.accepted {
				is.Equal(slices.Contains(reply.Loans, loan), !c.returned)
			}
			if c.accepted && !c.returned {
				is.Equal(len(reply.Loans), before)
				changes, _ := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
				is.Equal(len(changes), 0)
			}
		})
	}
}

// TestRequestsOfUnknownEpochsReturnNothing guards against a return that a former
// owner of the borrower sent: a later one may use the executor.
func TestRequestsOfUnknownEpochsReturnNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.shard.Shards = 2
	reply, ok := f.shard.HandleLoanRequest(f.now, loanRequest(f.shard.Epoch, 7, 1))
	is.True(ok)
	is.True(len(reply.Loans) > 0)
	f.runFor(100)
	loans := len(reply.Loans)
	reply, ok = f.shard.HandleLoanRequest(f.now, loanRequest(f.shard.Epoch-1, 7, 2, reply.Loans...))
	is.True(ok)
	is.Equal(len(reply.Loans), loans)
}

// TestRepliesOfReplacedLendersAreIgnored guards against executors that are used
// because of a late reply of a former owner of the lender.
func TestRepliesOfReplacedLendersAreIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		epoch  unit.Generation
		gained []unit.Executor
	}{
		"lower epoch":  {6, nil},
		"same epoch":   {7, []unit.Executor{"y1"}},
		"higher epoch": {8, []unit.Executor{"y1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			f.shard.Shards = 2
			request := func() *LoanRequest {
				for range 500 {
					f.now += 20
					_, orders := f.shard.Tick(f.now, unit.UnixMillis(f.now), true)
					f.shard.HandleStored(f.now)
					for _, o := range orders {
						if o.Loan != nil {
							return o.Loan
						}
						f.execute(o)
					}
				}
				return nil
			}
			first := request()
			is.True(first != nil)
			loan := Loan{Executor: "y0", TokenBase: 100, Lent: true}
			f.shard.HandleLoanReply(f.now, first, &LoanReply{Epoch: 7, Loans: []Loan{loan}})
			is.Equal(f.shard.Gained(), []unit.Executor{"y0"})
			second := request()
			is.True(second != nil)
			f.shard.HandleLoanReply(f.now, second, &LoanReply{Epoch: c.epoch, Loans: []Loan{loan, {Executor: "y1", TokenBase: 100, Lent: true}}})
			is.Equal(f.shard.Gained(), c.gained)
		})
	}
}

// TestReplacedBorrowersReturnNothing guards against a return by a replaced owner of
// the borrower of an executor that its successor uses: the home shard would order
// it with higher tokens and fence the successor.
func TestReplacedBorrowersReturnNothing(t *testing.T) {
	for name, lenderReplaced := range map[string]bool{"same lender": false, "lender replaced too": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			f.add(0, 2, lendableCapacity, "a", "r0")
			f.add(1, 1, lendableCapacity, "b", "r1")
			f.start(2)
			f.runFor(3 * clock.Second)
			f.lend("a0")
			is.True(f.shards[1].borrowed.Get("a0") != nil)
			f.shards[1].giveBack(f.now, "a0") // its request is lost
			replaced := f.replaceOwner(1, 7)
			f.runFor(3 * clock.Second)
			is.True(f.shards[1].borrowed.Get("a0") != nil)
			f.submit(1, "job0", Step{Count: 1, Size: resources(8000), Perpetual: true})
			f.submit(1, "job1", Step{Count: 1, Size: resources(8000), Perpetual: true})
			f.runFor(3 * clock.Second)
			is.True(len(f.executor("a0").running) > 0)
			if lenderReplaced {
				f.replaceOwner(0, 8)
				f.shards[1].lenders[0].nextAt = f.now.Add(loanPollInterval) // the replaced owner is first
			}
			for range 2 {
				l := replaced.lenders[0]
				l.inFlight, l.nextAt = false, 0
				for _, o := range f.orders(replaced) {
					if o.Loan != nil {
						f.deliver(replaced, o)
					}
				}
			}
			is.True(f.shards[0].loans.Get("a0").Lent)
			f.runFor(2 * clock.Second)
			is.True(!f.shards[1].Fenced())
			is.True(len(f.executor("a0").running) > 0)
		})
	}
}

// TestStarvingShardGetsAnOccupiedExecutor guards against jobs that wait forever in
// a shard without executors, because each executor of the others has a perpetual
// task. Those of one fit on another.
func TestStarvingShardGetsAnOccupiedExecutor(t *testing.T) {
	for name, c := range map[string]struct {
		cancelled  []unit.Job // make room for the task "moves" beside "second" and "third"
		missBudget int
		lent       bool
	}{
		"perpetual task that can be moved": {[]unit.Job{"first", "filler2", "filler3"}, 0, true},
		"within the miss budget":           {[]unit.Job{"first", "filler2", "filler3"}, 1, true},
		"no room for it elsewhere":         {[]unit.Job{"first"}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f lendingFixture
			f.add(1, 3, lendableCapacity, "b", "r1")
			f.start(2)
			submit := func(id unit.Job, cpu unit.MilliCPU) {
				f.submit(1, id, Step{Count: 1, Size: resources(cpu), Perpetual: true, MissBudget: c.missBudget})
				f.runFor(2 * clock.Second)
			}
			submit("first", 4500)
			submit("second", 5000)
			submit("third", 5000)
			submit("filler2", 2000)
			submit("filler3", 2000)
			submit("moves", 3000) // fits beside "first" only
			for _, id := range c.cancelled {
				f.shards[1].Cancel(f.now, unit.UnixMillis(f.now), id)
			}
			f.runFor(2 * clock.Second)
			f.submit(0, "starves", Step{Count: 1, Size: resources(4000)})
			f.runFor(60 * clock.Second)
			want := 0
			if c.lent {
				want = 1
			}
			is.Equal(len(f.runs("starves")), want)
			for _, id := range []unit.Job{"second", "third", "moves"} {
				is.Equal(len(f.runs(id)), 1)
			}
		})
	}
}
