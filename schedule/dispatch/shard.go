package dispatch

import (
	"cmp"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Limits are the timeouts and bounds of a shard. Spans are in milliseconds.
type Limits struct {
	Lease             clock.Span // of an executor; each hold renews it
	MaxHold           clock.Span // longest lease that an executor accepts
	HoldWait          clock.Span // longest time that a hold waits for the end of a run
	MemberTTL         clock.Span // time after its last join at which the store removes an owner from the members
	OwnershipTimeout  clock.Span // time after its last join at which an owner releases its shards
	RenewalTimeout    clock.Span // time after its last join at which an owner stops to renew leases; a new owner adds it to the lease of an executor that is not reconciled, while its predecessor may still be a member
	StatusRetention   clock.Span // retention of the state of an ended job
	CheckpointRestore clock.Span // time that a start from a checkpoint takes
	MaxOverTarget     clock.Span // longest time that a serving task may exceed its target for the tail latency
	MaxJobs           int        // open jobs, which are those that have not ended
	RemoteFactor      float64    // by which a run takes longer away from the rack of its data or group; waits for a rack are weighed only above 1
}

// DefaultLimits apply unless settings override them. Spans without a unit are in
// milliseconds. Leases are renewed for RenewalTimeout without the store, so that
// runs survive an outage of it that is shorter than RenewalTimeout and the lease
// together. A perpetual task must run again within 9 s, also if its executor is
// lost together with its owner: the store removes the owner after MemberTTL, and
// its successor then waits for a lease. Restarts of executors are detected sooner,
// by their start time.
var DefaultLimits = Limits{
	Lease: 7200, HoldWait: 700, MemberTTL: 1200, OwnershipTimeout: 8400, RenewalTimeout: 1200, StatusRetention: 2 * clock.Minute,
	CheckpointRestore: 600, MaxOverTarget: 4000, MaxJobs: 4000,
}

// Shard holds the tables of one part of the jobs and executors. Set the
// exported fields before use. It is not safe for concurrent use.
type Shard struct {
	ID     unit.Shard
	Epoch  unit.Generation
	Member unit.Member // owner; its successor asks whether it is still a member
	Shards int         // number of shards of the layout; with less than 2, no executors are lent
	Limits Limits
	Report func(Event) // called for each event; may be nil

	// AwaitsOperator keeps tasks from being placed until the first call of
	// [Shard.SetEvacuated]. An owner that has just started does not know yet which
	// data centres are evacuated.
	AwaitsOperator bool

	config             *Config
	queues             map[unit.Queue]*Queue
	evacuated          DataCentres // by the operator
	leases             leaseBounds
	jobs               table.Table[unit.Job, Job]
	executors          table.Table[unit.Executor, Executor]
	readySteps         map[stepKey]*readyStep            // steps with tasks to place
	availability       availability                      // of the executor that got available last
	unsettled          map[TaskID]struct{}               // tasks with an order to send; orders in flight are added if they get no answer
	resentAt           clock.Millis                      // last check of unsettled
	placedAt           availability                      // at the last placement
	speeds             map[speedKind]*speedMeter         // of all batch runs of a kind
	reservedRestarts   int                               // tasks that waited at reservedAt
	reservedAt         clock.Millis                      // last call of reserveForRestarts that made reservations
	dirty              []unit.Job                        // jobs that differ from the store
	storingJobs        []unit.Job                        // jobs in the append in flight
	pendingStarts      []TaskID                          // starts whose runs are not stored yet
	storingStarts      []TaskID                          // starts whose runs are in the append in flight
	pendingOrders      []Order                           // returned by the next tick
	interferenceModels map[unit.Image]*InterferenceModel // by image of serving tasks
	batchDemands       map[unit.Service]*batchDemand
	openJobs           int  // jobs that have not ended
	fenced             bool // an executor has refused an order because it has received a higher fencing token
	advice             adviceTracker
	scheduledJobs      []unit.Job               // jobs with occurrences still to start
	endedJobs          []unit.Job               // ended jobs whose states are kept, oldest first
	stoppingJobs       []unit.Job               // ended jobs of which runs may be left
	nextExpiryAt       clock.Millis             // next time for expireEndedJobs
	nextStopReportAt   clock.Millis             // next time for reportDelayedStops
	anomalies          int                      // since the last call of reportDelayedStops that was due
	waitReportedAt     map[stepKey]clock.Millis // last report of each step that waits for an executor
	capacityReportedAt clock.Millis             // last report of the capacity
	loans              table.Table[unit.Executor, homeLoan]
	borrowed           table.Table[unit.Executor, borrowedExecutor]
	lenders            map[unit.Shard]*lender
	loanSessions       map[unit.Shard]loanSession // last request of each borrower
	gained             []unit.Executor            // executors that may be used since the last call to Gained
	loads              []ServiceLoad              // computed at loadsAt
	wants              []LoanWant                 // computed at loadsAt
	loadsAt            clock.Millis               // 0 if the loads have to be computed
	jobBytes           unit.Bytes                 // memory of the jobs that have a spec
	expiredLoans       []unit.Executor            // records of loans to delete
	removedExecutors   map[unit.Executor]removedExecutor
	finished           []finishedOccurrence
	plainOrder         bool         // ready steps have no urgency; only for tests, which compare with it
	fixedBatchShare    float64      // share of the processors kept for batch tasks instead of their forecast demand; only for tests, as above
	relocatedAt        clock.Millis // last search for runs to relocate
	runTimes           runTimeTable
	running            runningJobs
	placeRotation      rotation
	ratingsAtPlacement int64            // ratings at the start of the last placement
	gangStarts         map[gangRun]bool // result of gangTakesStarts, while starts are ordered
	rackHits           hitCount
	waitErrors         waitError
	placements         int64                             // so far
	rackWaits          map[stepKey]*rackWait             // steps that wait for room on a rack
	placePolicy        Policy[placeOption, *placeChoice] // nil stands for expectedTimePolicy
	collected          int64                             // jobs in all appends so far
	ratings            int64                             // executors rated for a task so far
}

// stepKey identifies a step of one occurrence of a job in the tables. It has the
// fields of [StepID], which identifies a step in requests to the advisor.
type stepKey struct {
	job        unit.Job
	occurrence int
	step       int
}

// readyStep is the state of a step with tasks to place.
type readyStep struct {
	since    clock.Millis
	failedAt availability // up to which no executor can take a task of the step, 0 if they have to be rated again

	restartFailedAt availability // failedAt of the tasks of a perpetual step that ran before
	gangRetryAt     clock.Millis // earliest time to place the gang again
	starved         bool         // at failedAt
}

// Event describes a decision about a job or a task, or, if Task is zero, a change
// of the state of an executor. Fields that do not apply are zero.
type Event struct {
	Kind      string
	Task      TaskID
	Run       unit.Run
	Executor  unit.Executor
	Reason    string
	Age       clock.Span // age of the clock reading that a start used, time since the lease expired for runLapsed, or since the end of the job was stored for stopDelayed and runsStopped
	Breakdown *Breakdown // for finished
	Anomaly   bool       // should not occur without a fault; at most maxAnomalies in a second
}

// report passes an event to the Report function, if there is one.
func (s *Shard) report(e Event) {
	if s.Report != nil {
		s.Report(e)
	}
}

// StartOwnership starts the ownership of the shard, after all jobs are restored.
// The restored rows are later reconciled with the run lists of the executors. The
// shard was assigned to its owner at gainedAt; the former owner may have renewed
// leases until then, and for RenewalTimeout longer.
func (s *Shard) StartOwnership(gainedAt clock.Millis) {
	s.leases.gainedAt = gainedAt
	slices.SortFunc(s.endedJobs, func(a, b unit.Job) int {
		return cmp.Compare(s.jobs.Get(a).EndedAt, s.jobs.Get(b).EndedAt)
	})
}

// Fenced reports whether an executor has received a higher fencing token,
// which means that the owner was replaced.
func (s *Shard) Fenced() bool { return s.fenced }

// Configure sets the configuration. It ignores nil and versions older than the
// current one.
func (s *Shard) Configure(c *Config) {
	if c == nil || s.config != nil && c.Version < s.config.Version {
		return
	}
	s.config = c
	s.queues = make(map[unit.Queue]*Queue, len(c.Queues))
	for i := range c.Queues {
		s.queues[c.Queues[i].Name] = &c.Queues[i]
		s.enableAdvice(&c.Queues[i])
	}
}

// queue returns the queue of a job from the current configuration. If the
// queue is no longer configured, it returns the queue as it was when the job
// was accepted.
func (s *Shard) queue(j *Job) *Queue {
	if q := s.queues[j.Queue]; q != nil {
		return q
	}
	return &j.Spec.Queue
}

// tokensPerEpoch is the number of fencing tokens that an owner has for an executor.
const tokensPerEpoch unit.Token = 1 << 10

// token returns the fencing token for an executor. It rises with the epoch of
// the owner and with each restart of the executor, so that orders to an
// earlier incarnation are refused, and with each shard that uses the executor.
func (s *Shard) token(e *Executor) unit.Token {
	return s.tokenBase(e.Executor) + unit.Token(s.Epoch)*tokensPerEpoch + min(e.restarts, tokensPerEpoch-1)
}

// target returns the destination of orders to e.
func (e *Executor) target() Target {
	t := Target{Executor: e.Executor, Address: e.Address, Incarnation: e.Incarnation}
	if e.clockReadAt > 0 {
		t.Clock = e.clock
	}
	return t
}

// markDirty adds a job to the changes of the next append.
func (s *Shard) markDirty(id unit.Job, j *Job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, id)
	}
}

// findTask returns the rows of a task, or nil if the task is unknown or its
// job has no spec any more.
func (s *Shard) findTask(id TaskID) (*Job, *Step, *Task) {
	j := s.jobs.Get(id.Job)
	if j == nil || j.Spec == nil || id.Step >= len(j.Spec.Steps) {
		return nil, nil, nil
	}
	t := j.task(id)
	if t == nil {
		return nil, nil, nil
	}
	return j, &j.Spec.Steps[id.Step], t
}

// Change is a job, a loan or a lease record that is to be stored. It is valid until the
// next call to the shard.
type Change struct {
	Loan     *Loan        // a loan to store; the fields of a job are not set
	Leases   *LeaseRecord // the record of the leases to store; the fields of a job and of a loan are not set
	ID       unit.Job
	Job      *Job
	Spec     *Spec // spec to store, nil if the store has it
	Drop     bool  // delete the job or the loan from the store
	DropSpec bool  // delete the stored spec, which is no longer needed
}

// Pending returns the number of jobs of a queue that are queued according to
// the store.
func (s *Shard) Pending(q unit.Queue) int {
	n := 0
	for _, j := range s.jobs.All() {
		if j.Queue == q && j.stored && j.storedState == JobQueued {
			n++
		}
	}
	return n
}

// State returns the stored state of a job. It returns false if no record of
// the job is stored.
func (s *Shard) State(id unit.Job) (JobState, bool) {
	j := s.jobs.Get(id)
	if j == nil || !j.stored {
		return JobUnknown, false
	}
	return j.storedState, true
}

// StateChanges reports whether the state of a job differs from the stored one, so that
// an append has to store it.
func (s *Shard) StateChanges(id unit.Job) bool {
	j := s.jobs.Get(id)
	return j != nil && j.State != j.storedState
}

// Tick runs the systems. With canStore, it also places tasks and returns the
// changes to store in one append. The caller must report the append by
// [Shard.HandleStored] before it passes canStore again, unless there are no
// changes. Orders may be sent at once.
func (s *Shard) Tick(now clock.Millis, wall unit.UnixMillis, canStore bool) (changes []Change, orders []Order) {
	s.releaseExpiredRuns(now)
	s.stopEndedJobs(now)
	s.reportDelayedStops(now)
	s.resendOrders(now)
	s.moveRuns(now)
	s.sendPaces(now)
	if canStore {
		s.startScheduledOccurrences(now, wall)
		s.place(now)
		s.relocatePacedRuns(now)
		s.requestAdvice(now)
		s.expireEndedJobs(now, wall)
		s.requestLoans(now)
		changes = s.collectChanges(now)
		if len(changes) == 0 {
			s.HandleStored(now)
		}
	}
	s.sendHolds(now)
	orders, s.pendingOrders = s.pendingOrders, nil
	s.limitConnections(orders)
	return changes, orders
}

// maxChangesPerAppend is the maximum number of jobs in one append. The records
// of a job take up to about 8 KB, and the platform accepts 2 MB in a call.
const maxChangesPerAppend = 200

// collectChanges returns the changes for the next append and notes which
// starts and ends of runs it makes durable. A start waits while the record of
// its job is left for a later append. Ends are acknowledged only if the append
// has all dirty jobs. Each append has all changes of loans.
func (s *Shard) collectChanges(now clock.Millis) []Change {
	var changes []Change
	batch := s.dirty[:min(len(s.dirty), maxChangesPerAppend)]
	rest := slices.Clone(s.dirty[len(batch):])
	for _, id := range batch {
		if id == "" {
			continue // withdrawn
		}
		j := s.jobs.Get(id)
		if j == nil {
			changes = append(changes, Change{ID: id, Drop: true})
			continue
		}
		j.dirty, j.appendingState = false, j.State
		c := Change{ID: id, Job: j}
		if !j.stored {
			c.Spec = j.Spec
		} else if j.State.Ended() && j.Spec == nil {
			c.DropSpec = true
		}
		changes = append(changes, c)
	}
	s.storingJobs, s.dirty = append(s.storingJobs[:0], batch...), append(s.dirty[:0], rest...)
	pending := s.pendingStarts
	s.pendingStarts, s.storingStarts = nil, s.storingStarts[:0]
	for _, id := range pending {
		if j := s.jobs.Get(id.Job); j != nil && j.dirty {
			s.pendingStarts = append(s.pendingStarts, id)
		} else {
			s.storingStarts = append(s.storingStarts, id)
		}
	}
	changes = append(changes, s.collectLoans()...)
	changes = append(changes, s.collectLeases(now)...)
	s.collected += int64(len(batch))
	for _, e := range s.executors.All() {
		e.storingEndNumber = e.storedEndNumber
		if len(rest) == 0 {
			e.storingEndNumber = e.processedEndNumber
		}
	}
	return changes
}

// QueuedChanges returns the number of changes of jobs since the start of the
// ownership. The changes so far are collected once [Shard.CollectedChanges] has
// reached it.
func (s *Shard) QueuedChanges() int64 { return s.collected + int64(len(s.dirty)) }

// CollectedChanges returns the number of changes of jobs that [Shard.Tick] has
// returned since the start of the ownership.
func (s *Shard) CollectedChanges() int64 { return s.collected }

// HandleStored records that the changes of the last append are in the store, and
// orders the starts of the runs in them.
func (s *Shard) HandleStored(now clock.Millis) {
	for _, id := range s.storingJobs {
		// A job without a state in the append was submitted again since its row was dropped.
		if j := s.jobs.Get(id); j != nil && j.appendingState != JobUnknown {
			j.stored, j.storedState = true, j.appendingState
		}
	}
	s.storingJobs = s.storingJobs[:0]
	s.reportFinished(now)
	s.handleLoansStored()
	s.leases.handleLeasesStored()
	for _, e := range s.executors.All() {
		e.storedEndNumber = e.storingEndNumber
	}
	clear(s.gangStarts)
	for _, id := range s.storingStarts {
		s.startRun(now, id)
	}
	s.storingStarts = s.storingStarts[:0]
}

// Idle reports whether the shard needs no regular ticks: it has no open jobs,
// nothing to store and no runs to stop.
func (s *Shard) Idle() bool {
	return s.openJobs == 0 && len(s.dirty) == 0 && len(s.stoppingJobs) == 0 && !s.hasLoansToStore()
}
