package dispatch

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// simulation simulates executors, a store and owners. At each start that an
// executor carries out, it checks the invariants of dispatch, which must hold
// under message loss, delays and crashes.
type simulation struct {
	random     *rand.Rand
	now        clock.Millis
	executors  map[unit.Executor]*simulatedExecutor
	store      map[unit.Job]stored
	epoch      unit.Generation
	shards     []*simulatedShard
	loans      loanSimulation // state of the simulation of several shards
	messages   []message
	evacuated  DataCentres
	done       map[TaskID]bool // tasks with a successful run on an executor
	storedEnds map[TaskID]bool // tasks whose end is stored
	noted      map[TaskID]bool // tasks with a successful run whose end was acknowledged before its lease lapsed
	failures   map[TaskID]int
	jobs       []*Spec
	faults     faults
	cancels    cancelSimulation
	violations error
}

// simulatedShard is a shard of the simulation: its owners and the append in
// flight.
type simulatedShard struct {
	id           unit.Shard
	owner        *Shard
	formerOwner  *Shard       // was replaced without notice and continues
	replacedAt   clock.Millis // when formerOwner was replaced
	storedLeases *LeaseRecord
	storing      []Change     // changes of the append in flight
	storedAt     clock.Millis // when the append in flight is stored
	storedLoans  map[unit.Executor]Loan
	loanRequests simulatedLoanRequests

	formerConfirmedUntil clock.Millis // formerOwner starts runs until then
	formerStoredAt       clock.Millis // when the last append of formerOwner is stored, 0 if none is in flight
	slowUntil            clock.Millis // when the last slow append was stored
}

// faults holds the probability of each fault, for each order or tick of the
// simulation.
type faults struct {
	lost, late, crash, partition, replaceOwner float64

	// misdelivered is the probability that an order in transit when an executor
	// restarts reaches the next incarnation.
	misdelivered float64

	// silentRestart is the probability that an executor restarts while it carries out
	// orders and its answers are lost, for seconds.
	silentRestart float64

	// cutOff is the probability that an executor answers the former owner only.
	cutOff float64

	// Only simulated with several shards.
	lostLoan, lateLoan, duplicateLoan, staleRoute, lostAppend, drain, join float64

	// Only simulated with cancels; see [simulation.injectFaults].
	removed, cutOffNow float64

	// deferred is the probability that a late order is carried out also by a later
	// incarnation or an executor that is cut off, and that an order to a cut off
	// executor is late instead of lost.
	deferred float64

	// lateStart is the probability that a start is late, in addition to late.
	lateStart float64

	// maxLate bounds the delay of late orders; 0 means 12 s.
	maxLate clock.Span

	// rebalance is the probability that an owner is replaced at once while its
	// membership still counts as confirmed, so that it continues to start runs.
	rebalance float64

	// racks lets the steps of batch jobs name a rack or form a group, so that they
	// wait for racks.
	racks bool

	// slowAppend is the probability that an append takes seconds.
	slowAppend float64

	// outdated is the probability that the list shows the entry of the former
	// incarnation at times after a restart.
	outdated float64

	// undecodable is the probability that the entry of an executor can't be decoded
	// for a time after a takeover.
	undecodable float64

	// schedules is the probability that a batch job has up to 100 occurrences that are
	// due at once.
	schedules float64

	// evacuate is the probability that the evacuation of a data centre begins or ends.
	evacuate float64
}

// stored is the record of a job in the store.
type stored struct {
	shard unit.Shard
	job   Job
	spec  *Spec
}

// orderTimeout is how long an owner waits for the answer to an order.
const orderTimeout = 600 * clock.Millisecond

// message is an order in transit. A message with the target address "timeout"
// marks the end of the sender's wait for an answer.
type message struct {
	sentAt        clock.Millis
	deliverAt     clock.Millis
	order         Order
	from          *Shard
	answerArrives bool // the answer reaches the sender
	deferred      bool // survives a restart and reaches an executor that is cut off
}

// newSimulation returns a simulation with four executors and one shard.
func newSimulation(seed int64, f faults) *simulation {
	sim := newSimulationOf(seed, f, 1)
	for i := range 4 {
		sim.addExecutor(i)
	}
	sim.takeOver(sim.shards[0])
	return sim
}

// newSimulationOf returns a simulation without executors and owners.
func newSimulationOf(seed int64, f faults, shards int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewSource(seed)), now: 1000, executors: make(map[unit.Executor]*simulatedExecutor),
		store: make(map[unit.Job]stored), done: make(map[TaskID]bool), storedEnds: make(map[TaskID]bool), noted: make(map[TaskID]bool),
		failures: make(map[TaskID]int), faults: f,
	}
	for i := range shards {
		sim.shards = append(sim.shards, &simulatedShard{id: unit.Shard(i), storedLoans: make(map[unit.Executor]Loan)})
	}
	return sim
}

// addExecutor adds executor n.
func (sim *simulation) addExecutor(n int) *simulatedExecutor {
	id := unit.Executor("x" + strconv.Itoa(n))
	x := &simulatedExecutor{
		id: id, address: string(id), incarnation: unit.UnixMillis(1 + n), startedAt: sim.now, clockRate: 0.98 + 0.02*sim.random.Float64(),
		capacity: unit.Resources{CPU: 4000, Memory: 4000}, dataCentre: dataCentreOf(n),
	}
	x.reset()
	sim.executors[id] = x
	return x
}

// registrations returns the complete list of executors.
func (sim *simulation) registrations() Registrations {
	r := Registrations{Complete: true}
	for _, id := range slices.Sorted(maps.Keys(sim.executors)) {
		x := sim.executors[id]
		if len(sim.shards) > 1 && x.partitionedUntil.Sub(sim.now) > unlistedPeriod {
			continue
		}
		if x.isUnlisted(sim.now) {
			continue
		}
		if sim.now < x.undecodableUntil {
			r.Undecodable = append(r.Undecodable, UndecodableEntry{Executor: x.id, Reason: "simulated"})
			continue
		}
		incarnation := x.incarnation
		if sim.now < x.outdatedUntil && sim.chance(0.5) {
			incarnation = x.formerIncarnation
		}
		r.Entries = append(r.Entries, Registration{
			Executor: x.id, Service: "s", Address: x.address, DataCentre: x.dataCentre, Capacity: x.capacity, Incarnation: incarnation,
			Labels:   []unit.Label{"a", unit.Label("r" + x.id[len(x.id)-1:])},
			Draining: x.leavesAt > 0, TimeLeft: max(0, x.leavesAt.Sub(sim.now)),
		})
	}
	return r
}

// anyExecutor reports every executor as part of the shard.
func anyExecutor(unit.Executor) bool { return true }

// simulatedLimits returns the limits of the owners.
func simulatedLimits() Limits {
	l := DefaultLimits
	l.MaxHold, l.RemoteFactor = maxSimulatedHold, 3
	return l
}

// takeOver replaces the owner of a shard by one that has only the stored state.
func (sim *simulation) takeOver(sh *simulatedShard) {
	sh.formerConfirmedUntil, sh.formerStoredAt = 0, 0
	if lost := sim.interruptAppend(sh); sh.storing != nil && !lost {
		sh.formerStoredAt = sh.storedAt
	}
	sh.formerOwner, sh.storing, sh.replacedAt = sh.owner, nil, sim.now
	sim.epoch++
	sh.owner = &Shard{ID: sh.id, Epoch: sim.epoch, Member: unit.Member(strconv.Itoa(int(sim.epoch))), Shards: len(sim.shards), Limits: simulatedLimits()}
	sh.owner.Configure(&Config{Version: 1, Queues: []Queue{{Name: "q", Service: "s", MaxAttempts: 3}}})
	for _, id := range slices.Sorted(maps.Keys(sim.store)) {
		if sim.store[id].shard == sh.id {
			sh.owner.Restore(sim.now, sim.wall(), id, cloneJob(&Change{Job: ptr(sim.store[id].job)}), sim.store[id].spec)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sh.storedLoans)) {
		sh.owner.RestoreLoan(sh.storedLoans[id])
	}
	for _, id := range slices.Sorted(maps.Keys(sim.executors)) {
		if sim.rarely(sim.faults.undecodable) {
			sim.executors[id].undecodableUntil = sim.now.Add(sim.span(300, 8*clock.Second))
		}
	}
	sh.owner.RestoreLeaseRecord(sim.now, sh.storedLeases)
	sh.owner.ApplyRegistrations(sim.now, sim.registrations(), sim.homeOf(sh))
	sh.owner.StartOwnership(sim.now)
	sh.owner.AwaitsOperator = sim.faults.evacuate > 0
	for _, id := range slices.Sorted(maps.Keys(sim.executors)) {
		if x := sim.executors[id]; sim.chance(sim.faults.cutOff) {
			x.cutOffFrom, x.cutOffUntil = sim.epoch, sim.now.Add(clock.Span(1000+sim.random.Intn(12_000)))
		}
	}
}

func ptr[T any](v T) *T { return &v }

// wall returns the time of day.
func (sim *simulation) wall() unit.UnixMillis { return unit.UnixMillis(sim.now) }

// cloneJob copies the fields of a job that are stored.
func cloneJob(c *Change) Job {
	j := Job{Queue: c.Job.Queue, State: c.Job.State, AcceptedAt: c.Job.AcceptedAt, EndedAt: c.Job.EndedAt}
	for k := range c.Job.Occurrences {
		var o Occurrence
		for _, st := range c.Job.Occurrences[k].Steps {
			s := StepState{Gang: st.Gang}
			for _, t := range st.Tasks {
				s.Tasks = append(s.Tasks, Task{
					State: t.State, Run: t.Run, Executor: t.Executor, Incarnation: t.Incarnation, Checkpoint: t.Checkpoint, Failures: t.Failures,
				})
			}
			o.Steps = append(o.Steps, s)
		}
		j.Occurrences = append(j.Occurrences, o)
	}
	return j
}

// reportViolation records a violated invariant.
func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = errors.Join(sim.violations, fmt.Errorf("at %d ms: "+format, append([]any{sim.now}, args...)...))
}

// tick advances time by 10 ms and runs the systems of the owners.
func (sim *simulation) tick() {
	sim.now += 10
	for _, id := range slices.Sorted(maps.Keys(sim.executors)) {
		sim.advance(sim.executors[id])
	}
	sim.deliver()
	sim.deliverLoans()
	sim.changeEvacuations()
	for _, sh := range sim.shards {
		if sim.now%400 == 0 {
			sh.owner.ApplyRegistrations(sim.now, sim.registrations(), sim.homeOf(sh))
		}
		if sim.chance(sim.faults.replaceOwner) {
			sim.takeOver(sh)
		}
		if sim.rarely(sim.faults.rebalance) {
			sim.takeOver(sh)
			sh.formerConfirmedUntil = sim.now.Add(DefaultLimits.MemberTTL)
		}
		sim.tickOwner(sh, sh.owner, true)
		if sh.formerOwner != nil {
			sim.tickOwner(sh, sh.formerOwner, false)
		}
	}
	sim.handleCancels()
	sim.checkCancelledRuns()
	if len(sim.shards) > 1 {
		sim.changeExecutors()
		sim.checkUsers()
	}
}

// chance returns true with probability p.
func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

// tickOwner runs a tick of an owner. The store refuses appends of a former one.
func (sim *simulation) tickOwner(sh *simulatedShard, s *Shard, current bool) {
	if s.Fenced() {
		if current {
			sim.reportViolation("the current owner of shard %d is fenced", sh.id)
		}
		sh.formerOwner = nil
		return
	}
	canStore := current && sh.storing == nil
	if current && sh.storing != nil && sim.now >= sh.storedAt {
		sh.storing = nil
		s.HandleStored(sim.now)
		sim.acknowledgeAppend(sh)
		canStore = true
	}
	sim.registerGained(sh, s)
	if !current {
		if sh.formerConfirmedUntil > 0 && sh.formerStoredAt > 0 && sim.now >= sh.formerStoredAt {
			sh.formerStoredAt = 0
			s.HandleStored(sim.now)
		}
		// A process starts no runs while its membership is unconfirmed. It
		// continues to send holds, stops and requests for loans.
		changes, orders := s.Tick(sim.now, sim.wall(), len(sim.shards) > 1 && !sh.loanRequests.formerStores)
		sh.loanRequests.formerStores = sh.loanRequests.formerStores || len(changes) > 0
		if sim.now >= sh.formerConfirmedUntil {
			orders = slices.DeleteFunc(orders, func(o Order) bool { return o.Start != nil })
		}
		if sim.now.Sub(sh.replacedAt) >= DefaultLimits.RenewalTimeout {
			for i := range orders {
				if orders[i].Hold != nil {
					orders[i].Hold.Deadline = 0
				}
			}
		}
		sim.send(s, orders)
		return
	}
	changes, orders := s.Tick(sim.now, sim.wall(), canStore)
	sim.send(s, orders)
	for i := range changes {
		sim.storeChange(sh, &changes[i])
	}
	if canStore {
		sh.loanRequests.storing, sh.loanRequests.queued = sh.loanRequests.queued, nil
	}
	if len(changes) > 0 {
		sh.storing, sh.storedAt = changes, sim.now.Add(clock.Span(10*sim.random.Intn(4)))
		if sim.rarely(sim.faults.slowAppend) {
			sh.storedAt = sim.now.Add(sim.span(500, 4*clock.Second))
			sh.slowUntil = sh.storedAt
		}
	} else if canStore {
		sim.acknowledgeAppend(sh)
	}
}

// storeChange applies a change to the store.
func (sim *simulation) storeChange(sh *simulatedShard, c *Change) {
	sim.saveForUndo(sh, c)
	switch {
	case c.Loan != nil:
		sh.storeLoan(c)
		return
	case c.Leases != nil:
		sh.storedLeases = c.Leases
		return
	}
	if c.Drop {
		delete(sim.store, c.ID)
		return
	}
	row := sim.store[c.ID]
	row.shard, row.job = sh.id, cloneJob(c)
	if c.Spec != nil {
		row.spec = c.Spec
	}
	if c.DropSpec {
		row.spec = nil
	}
	sim.store[c.ID] = row
	for k := range row.job.Occurrences {
		if row.spec != nil && len(row.job.Occurrences[k].Steps) == 0 { // done, without rows
			for i, st := range row.spec.Steps {
				for n := range st.Count {
					sim.storedEnds[TaskID{c.ID, k, i, n}] = true
				}
			}
		}
		for i, st := range row.job.Occurrences[k].Steps {
			for n, t := range st.Tasks {
				if t.State == TaskDone {
					sim.storedEnds[TaskID{c.ID, k, i, n}] = true
				}
			}
		}
	}
}

// spec returns the spec of a submitted job.
func (sim *simulation) spec(id unit.Job) *Spec {
	for _, s := range sim.jobs {
		if s.ID == id {
			return s
		}
	}
	panic("dispatch: start of a job that was not submitted")
}

// checkStart checks the invariants at the start of a run.
func (sim *simulation) checkStart(x *simulatedExecutor, o *StartOrder, spec *Spec) {
	for _, y := range sim.executors {
		if r := y.running[o.Task]; y != x && r != nil && !r.isUnfenced {
			sim.reportViolation("%s runs on %s and starts on %s", o.Task, y.id, x.id)
		}
	}
	if sim.noted[o.Task] {
		sim.reportViolation("%s starts on %s after its end was acknowledged", o.Task, x.id)
	}
	if sim.storedEnds[o.Task] {
		sim.reportViolation("%s starts on %s after its end was stored", o.Task, x.id)
	}
	for _, a := range spec.Steps[o.Task.Step].After {
		for i := range spec.Steps[a].Count {
			if !sim.done[TaskID{o.Task.Job, o.Task.Occurrence, a, i}] {
				sim.reportViolation("%s starts before step %d is done", o.Task, a)
			}
		}
	}
	if _, ok := sim.store[o.Task.Job]; !ok {
		sim.reportViolation("%s starts although its job is not stored", o.Task)
	}
}

// submit submits a batch job to the first shard, or a perpetual one if executors
// are cut off: most batch runs would end before their leases.
func (sim *simulation) submit(n int) {
	s := sim.batchSpec(unit.Job("j" + strconv.Itoa(n)))
	if sim.faults.cutOff > 0 && n%160 == 0 {
		s.Steps = []Step{{Count: 2, Size: unit.Resources{CPU: 1000, Memory: 500}, Perpetual: true}}
	}
	sim.submitTo(sim.shards[0], s)
}

// batchSpec returns a job of two steps with random counts of tasks.
func (sim *simulation) batchSpec(id unit.Job) *Spec {
	s := &Spec{
		ID: id, Queue: Queue{Name: "q", Service: "s", MaxAttempts: 3, SlackFactor: 1.5},
		Steps: []Step{
			{Count: 1 + sim.random.Intn(5), Size: unit.Resources{CPU: 1000, Memory: 500}, Estimate: 500},
			{Count: 1 + sim.random.Intn(3), Size: unit.Resources{CPU: 1500, Memory: 500}, Estimate: 500, After: []int{0}, SavesProgress: true},
		},
	}
	if sim.faults.racks {
		s.Steps[0].Near, s.Steps[1].SameRack = "r0", true
	}
	if sim.rarely(sim.faults.schedules) {
		s.Repeat = 1 + sim.random.Intn(100)
	}
	return s
}

// submitTo submits a job to a shard.
func (sim *simulation) submitTo(sh *simulatedShard, s *Spec) {
	sim.jobs = append(sim.jobs, s)
	_ = sh.owner.Submit(sim.now, sim.wall(), s) // refused if the shard is full
}

// run advances time by a number of ticks. It submits jobs in the first half.
func (sim *simulation) run(ticks int) {
	for i := range ticks {
		if i%40 == 0 && i < ticks/2 {
			sim.submit(i)
		}
		sim.tick()
	}
}

// seeds returns the number of seeds to simulate: MIMOSA_SEEDS, or 40 if it is
// not set.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("MIMOSA_SEEDS")); err == nil {
		return n
	}
	return 40
}

// TestStartsUnderFaults guards against a task that has two runs at once or
// runs again after its stored end, a step that starts before its predecessors
// are done, and a start of a job that is not stored. The faults are lost and
// late orders, crashes after which the id is used again, partitions, and
// owners that replace each other.
func TestStartsUnderFaults(t *testing.T) {
	for name, f := range map[string]faults{
		"none":            {},
		"lost":            {lost: 0.1},
		"late":            {late: 0.1},
		"crashes":         {crash: 0.002},
		"partitions":      {partition: 0.002},
		"replaced owners": {replaceOwner: 0.005},
		"cut off":         {replaceOwner: 0.003, cutOff: 0.4},
		"cut off, late":   {replaceOwner: 0.003, cutOff: 0.4, late: 0.05, partition: 0.0005, crash: 0.0003},
		"restarts":        {lost: 0.02, crash: 0.002, misdelivered: 0.8},
		"silent restarts": {silentRestart: 0.0015, misdelivered: 0.5},
		"racks":           {racks: true, lost: 0.03, late: 0.03, crash: 0.0005, partition: 0.0005, replaceOwner: 0.002},
		"all":             {lost: 0.03, late: 0.03, crash: 0.0005, partition: 0.0005, replaceOwner: 0.002},
		"evacuations":     {evacuate: 0.005, lost: 0.05, late: 0.03, crash: 0.0005, partition: 0.0005, replaceOwner: 0.003},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range int64(seeds()) {
				sim := newSimulation(seed, f)
				ticks := 1200
				if f.cutOff > 0 {
					ticks = 2500 // several leases
				}
				sim.run(ticks)
				if sim.violations != nil {
					t.Logf("seed %d", seed)
				}
				is.NoErr(sim.violations)
			}
		})
	}
}

// TestJobsEnd guards against jobs without progress: without faults, every job
// ends.
func TestJobsEnd(t *testing.T) {
	is := is.New(t)
	for seed := range int64(seeds()) {
		sim := newSimulation(seed, faults{})
		sim.run(3000)
		for _, s := range sim.jobs {
			state, ok := sim.shards[0].owner.State(s.ID)
			is.True(ok)            // the job is known
			is.True(state.Ended()) // the job has ended
		}
	}
}

// TestJobsEndAfterFaults guards against lost jobs: jobs end after the faults
// stop, also those whose steps wait for racks.
func TestJobsEndAfterFaults(t *testing.T) {
	is := is.New(t)
	for seed := range int64(2 * seeds()) {
		sim := newSimulation(seed/2, faults{lost: 0.05, late: 0.02, crash: 0.001, partition: 0.0005, replaceOwner: 0.003, racks: seed%2 == 1})
		sim.run(1200)
		sim.faults = faults{}
		for range 4000 {
			sim.tick()
		}
		is.NoErr(sim.violations)
		for _, s := range sim.jobs {
			if _, kept := sim.store[s.ID]; !kept {
				continue // the submission was never confirmed
			}
			state, ok := sim.shards[0].owner.State(s.ID)
			if !ok || !state.Ended() {
				t.Logf("seed %d, racks %t: %s is %s", seed/2, seed%2 == 1, s.ID, state)
			}
			is.True(ok && state.Ended())
		}
	}
}
