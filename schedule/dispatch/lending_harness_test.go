package dispatch

import (
	"errors"
	"slices"
	"strconv"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// lendingFixture is two or more shards that lend each other executors. Orders and
// loan requests are delivered at once, and runs end only by stop orders. Add the
// executors first, then call start.
type lendingFixture struct {
	now       clock.Millis
	shards    []*Shard
	executors []*lendableExecutor // in the order in which they were added
	movedAt   []clock.Millis      // times at which executors were lent or returned
}

// lendableExecutor is an executor of a [lendingFixture].
type lendableExecutor struct {
	simulatedExecutor
	registration Registration
	home         unit.Shard
}

// lendableCapacity is the capacity of an executor unless a test needs another one.
var lendableCapacity = unit.Resources{CPU: 8000, Memory: 16000}

// ownerEpoch is the epoch of the first owner of each shard.
const ownerEpoch unit.Generation = 5

// add adds n executors to a home shard. Their ids are the letter of the shard and
// a number, such as a0 and b1.
func (f *lendingFixture) add(home unit.Shard, n int, capacity unit.Resources, labels ...unit.Label) {
	first := 0
	for _, x := range f.executors {
		if x.home == home {
			first++
		}
	}
	for i := range n {
		id := unit.Executor(string(rune('a'+home)) + strconv.Itoa(first+i))
		x := &lendableExecutor{home: home, registration: Registration{
			Executor: id, Service: "s", Address: "a", Incarnation: 1, Labels: labels, Capacity: capacity,
		}}
		x.reset()
		f.executors = append(f.executors, x)
	}
}

// start creates the shards and begins the ownership of each.
func (f *lendingFixture) start(shards int) {
	f.now = 1000
	for i := range shards {
		f.shards = append(f.shards, f.newOwner(unit.Shard(i), ownerEpoch, shards))
	}
	for _, s := range f.shards {
		f.startOwnership(s)
	}
}

// newOwner returns an owner of a shard without executors.
func (f *lendingFixture) newOwner(id unit.Shard, epoch unit.Generation, shards int) *Shard {
	s := &Shard{ID: id, Epoch: epoch, Shards: shards, Limits: DefaultLimits}
	s.Report = func(e Event) {
		if e.Kind == "executorLent" || e.Kind == "executorReturned" {
			f.movedAt = append(f.movedAt, f.now)
		}
	}
	s.Configure(&Config{Version: 1, Queues: []Queue{lendingQueue}})
	return s
}

// replaceOwner replaces the owner of a shard by one that knows the loans in the
// store and no jobs. It returns the replaced owner.
func (f *lendingFixture) replaceOwner(id unit.Shard, epoch unit.Generation) *Shard {
	former := f.shards[id]
	s := f.newOwner(id, epoch, former.Shards)
	for _, l := range former.loans.All() {
		s.RestoreLoan(l.Loan)
	}
	f.shards[id] = s
	f.startOwnership(s)
	return former
}

func (f *lendingFixture) startOwnership(s *Shard) {
	f.register(s)
	s.StartOwnership(f.now)
}

// register passes the complete list of executors to a shard.
func (f *lendingFixture) register(s *Shard) {
	r := Registrations{Complete: true}
	for _, x := range f.executors {
		r.Entries = append(r.Entries, x.registration)
	}
	s.ApplyRegistrations(f.now, r, f.inShard(s.ID))
}

// remove removes an executor and its entry.
func (f *lendingFixture) remove(id unit.Executor) {
	f.executors = slices.DeleteFunc(f.executors, func(x *lendableExecutor) bool { return x.registration.Executor == id })
	for _, s := range f.shards {
		f.register(s)
	}
}

// inShard returns the layout as a function for [Shard.ApplyRegistrations].
func (f *lendingFixture) inShard(shard unit.Shard) func(unit.Executor) bool {
	return func(id unit.Executor) bool {
		x := f.executor(id)
		return x != nil && x.home == shard
	}
}

// executor returns the executor with an id, or nil if it was removed.
func (f *lendingFixture) executor(id unit.Executor) *lendableExecutor {
	for _, x := range f.executors {
		if x.registration.Executor == id {
			return x
		}
	}
	return nil
}

// runFor advances time in ticks of 20 ms.
func (f *lendingFixture) runFor(span clock.Span) {
	for end := f.now.Add(span); f.now < end; f.now += 20 {
		for _, s := range f.shards {
			f.tick(s)
		}
	}
}

// tick runs a shard once and delivers its orders.
func (f *lendingFixture) tick(s *Shard) {
	for _, o := range f.orders(s) {
		f.deliver(s, o)
	}
}

// orders runs a shard once, stores its changes and returns its orders.
func (f *lendingFixture) orders(s *Shard) []Order {
	var gained Registrations
	for _, id := range s.Gained() {
		if x := f.executor(id); x != nil {
			gained.Entries = append(gained.Entries, x.registration)
		}
	}
	s.ApplyRegistrations(f.now, gained, f.inShard(s.ID))
	_, orders := s.Tick(f.now, unit.UnixMillis(f.now), true)
	s.HandleStored(f.now)
	_, more := s.Tick(f.now, unit.UnixMillis(f.now), false)
	return append(orders, more...)
}

// deliver delivers an order of a shard and passes on the answer.
func (f *lendingFixture) deliver(s *Shard, o Order) {
	if o.Loan != nil {
		lender := f.shards[o.Loan.Lender]
		reply, ok := lender.HandleLoanRequest(f.now, o.Loan)
		f.tick(lender) // the reply is sent after its changes are stored
		if ok {
			s.HandleLoanReply(f.now, o.Loan, &reply)
		} else {
			s.HandleLoanReply(f.now, o.Loan, nil)
		}
		return
	}
	x := f.executor(o.To.Executor)
	if x == nil {
		s.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &Answer{}, errors.New("no answer"))
		return
	}
	a := f.execute(x, &o)
	s.HandleAnswer(f.now, unit.UnixMillis(f.now), &o, &a, nil)
}

// execute carries out an order at x and returns its answer. All runs report a
// checkpoint.
func (f *lendingFixture) execute(x *lendableExecutor, o *Order) Answer {
	a := Answer{Outcome: OutcomeDone, Clock: unit.ExecutorMillis(f.now), Incarnation: x.registration.Incarnation}
	if o.token() < x.token {
		a.Outcome = OutcomeFenced
		return a
	}
	x.token = o.token()
	switch {
	case o.Start != nil:
		x.running[o.Start.Task] = &simulatedRun{run: o.Start.Run}
	case o.Stop != nil:
		if x.running[o.Stop.Task] != nil {
			x.endRun(o.Stop.Task, EndStopped)
		}
	case o.Hold != nil:
		x.finished = slices.DeleteFunc(x.finished, func(r FinishedRun) bool { return r.Number <= o.Hold.LastSeen })
		a.Finished = slices.Clone(x.finished)
		for id, r := range x.running {
			a.Running = append(a.Running, RunningRun{Task: id, Run: r.run, Progress: fullPace, Measurement: 10, Checkpoint: "c"})
		}
	}
	return a
}

var lendingQueue = Queue{Name: "q", Service: "s", MaxAttempts: 2, SlackFactor: 1}

// submit submits a job to a shard.
func (f *lendingFixture) submit(shard unit.Shard, id unit.Job, steps ...Step) {
	_ = f.shards[shard].Submit(f.now, unit.UnixMillis(f.now), &Spec{ID: id, Queue: lendingQueue, Steps: steps}) // accepts all jobs
}

// runs returns the runs of a job that are in progress.
func (f *lendingFixture) runs(id unit.Job) map[TaskID]unit.Run {
	runs := make(map[TaskID]unit.Run)
	for _, x := range f.executors {
		for task, r := range x.running {
			if task.Job == id {
				runs[task] = r.run
			}
		}
	}
	return runs
}

// executorOf returns an executor with a run of a job that is not draining, or nil.
func (f *lendingFixture) executorOf(id unit.Job) *lendableExecutor {
	for _, x := range f.executors {
		for task := range x.running {
			if task.Job == id && !x.registration.Draining {
				return x
			}
		}
	}
	return nil
}

// moves returns how many times executors were lent or returned in the last span.
func (f *lendingFixture) moves(span clock.Span) int {
	n := 0
	for _, at := range f.movedAt {
		if f.now.Sub(at) < span {
			n++
		}
	}
	return n
}

// lentBy returns the number of executors that a shard has lent.
func (f *lendingFixture) lentBy(shard unit.Shard) int {
	n := 0
	for _, l := range f.shards[shard].loans.All() {
		if l.Lent {
			n++
		}
	}
	return n
}

// vacating returns the number of executors that a shard vacates to lend them.
func (f *lendingFixture) vacating(shard unit.Shard) int {
	n := 0
	for _, e := range f.shards[shard].executors.All() {
		if f.now < e.vacatingUntil {
			n++
		}
	}
	return n
}

// lend makes shard 0 lend an idle executor to shard 1 and waits until shard 1 uses
// it.
func (f *lendingFixture) lend(id unit.Executor) {
	f.shards[0].lendOrVacate(f.now, id, &LoanRequest{Borrower: 1, BorrowerEpoch: f.shards[1].Epoch})
	f.runFor(loanPollInterval + clock.Second)
}
