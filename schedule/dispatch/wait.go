package dispatch

import (
	"fmt"
	"strings"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// waitReportInterval is the interval between two reports of why the tasks of
	// a waiting step were not placed.
	waitReportInterval = 3 * clock.Second
	// capacityReportInterval is the interval between two reports of the capacity
	// of a shard.
	capacityReportInterval = 3 * clock.Second
	// maxWaitReports bounds the reports of waiting steps in one placement. Each goes
	// through all executors.
	maxWaitReports = 16
)

// Exclusion is the reason why a task can't be placed on an executor.
type Exclusion int

// The exclusions. [ExcludedUnusable] means that the executor gets no new runs at
// all, [ExcludedEvacuated] that the reason is the evacuation of its data centre,
// [ExcludedSpread] that it has as many tasks of the step as the step allows,
// and [ExcludedAdmission] that it has the capacity, but that the task is not
// admitted because of the tasks beside it, the reserve for batch tasks or a
// missing ticket.
const (
	NotExcluded          Exclusion = iota // none
	ExcludedUnusable                      // unusable
	ExcludedEvacuated                     // evacuated
	ExcludedLabel                         // label
	ExcludedSpread                        // spread
	ExcludedCPU                           // cpu
	ExcludedMemory                        // memory
	ExcludedAccelerators                  // accelerators
	ExcludedAdmission                     // admission

	exclusionCount int = iota
)

// exclusion returns the first reason why the requested task can't be placed on e.
func (request *placementRequest) exclusion(e *Executor) Exclusion {
	if x := request.capacityExclusion(e); x != NotExcluded {
		return x
	}
	return request.constraintExclusion(e)
}

// constraintExclusion returns the first reason, apart from the capacity, why the
// requested task can't be placed on e.
func (request *placementRequest) constraintExclusion(e *Executor) Exclusion {
	if x := request.spreadExclusion(e); x != NotExcluded {
		return x
	}
	if !request.admissible(e) {
		return ExcludedAdmission
	}
	return NotExcluded
}

// exclusionDespiteTicket returns the first reason why the requested task can't be
// placed on e, also with a ticket for e.
func (request *placementRequest) exclusionDespiteTicket(e *Executor) Exclusion {
	if x := request.capacityExclusion(e); x != NotExcluded {
		return x
	}
	if x := request.spreadExclusion(e); x != NotExcluded {
		return x
	}
	if !request.shard.admits(e, request) {
		return ExcludedAdmission
	}
	return NotExcluded
}

// spreadExclusion returns the reason why e does not satisfy what the step says about
// its executors.
func (request *placementRequest) spreadExclusion(e *Executor) Exclusion {
	step := request.step
	switch {
	case step.Needs != "" && !e.hasLabel(step.Needs):
		return ExcludedLabel
	case step.MaxPerExecutor > 0 && e.countRuns(request.key) >= step.MaxPerExecutor:
		return ExcludedSpread
	}
	return NotExcluded
}

// freeCapacity returns the capacity of e that the requested task may use.
func (request *placementRequest) freeCapacity(e *Executor) unit.Resources {
	free := e.Capacity.Sub(e.allocated)
	switch {
	case request.isRestart():
	case request.step.Perpetual:
		free.CPU -= e.reservedCPU
	default:
		free.CPU -= e.overdueCPU
	}
	return free
}

// capacityExclusion returns the resource that e lacks for the requested task.
func (request *placementRequest) capacityExclusion(e *Executor) Exclusion {
	step := request.step
	free, demand := request.freeCapacity(e), step.demand()
	switch {
	case demand.CPU > free.CPU, step.Fills && e.availableBestEffortCPU() < step.Size.CPU:
		return ExcludedCPU
	case demand.Memory > free.Memory:
		return ExcludedMemory
	case demand.Accelerators > free.Accelerators:
		return ExcludedAccelerators
	}
	return NotExcluded
}

// reportWaits reports, for each step that has waited for starvationTimeout, how
// many executors of its service are excluded for each reason, and on how many of
// the usable ones the processors without batch tasks would suffice. Steps above
// maxWaitReports are reported later.
func (s *Shard) reportWaits(now clock.Millis, pools map[unit.Service]*executorPool) {
	reports := 0
	for k, ready := range s.readySteps {
		if reports == maxWaitReports {
			break
		}
		since := ready.since
		j := s.jobs.Get(k.job)
		if j == nil || j.Spec == nil || j.State.Ended() || now.Sub(since) < starvationTimeout || now < s.waitReportedAt[k].Add(waitReportInterval) {
			continue
		}
		if s.waitReportedAt == nil {
			s.waitReportedAt = make(map[stepKey]clock.Millis)
		}
		s.waitReportedAt[k] = now
		reports++
		tasks := j.tasks(k)
		for i := range tasks {
			if tasks[i].State == TaskReady {
				s.report(Event{
					Kind: "waits", Task: TaskID{k.job, k.occurrence, k.step, i}, Run: tasks[i].Run, Age: now.Sub(since),
					Reason: s.describeExclusions(now, k, j, &tasks[i], pools[s.queue(j).Service]),
				})
				break
			}
		}
	}
	for k := range s.waitReportedAt {
		if _, ok := s.readySteps[k]; !ok {
			delete(s.waitReportedAt, k)
		}
	}
}

// describeExclusions counts the executors of the service of a task by the reason
// why the task can't be placed there. pool may be nil.
func (s *Shard) describeExclusions(now clock.Millis, k stepKey, j *Job, t *Task, pool *executorPool) string {
	var counts [exclusionCount]int
	service, withoutBatch := s.queue(j).Service, 0
	for _, e := range s.executors.All() {
		switch {
		case !e.registered || e.Service != service || s.accepts(now, e):
		case e.evacuated:
			counts[ExcludedEvacuated]++
		default:
			counts[ExcludedUnusable]++
		}
	}
	step := &j.Spec.Steps[k.step]
	if pool != nil {
		request := s.newPlacementRequest(now, k, j, pool).forTask(t)
		for _, e := range pool.executors {
			counts[request.exclusion(e)]++
			if e.Capacity.CPU-e.perpetual.CPU >= step.Size.CPU {
				withoutBatch++
			}
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "cpu=%d memory=%d perpetual=%t", step.Size.CPU, step.Size.Memory, step.Perpetual)
	for x := ExcludedUnusable; int(x) < exclusionCount; x++ {
		if counts[x] > 0 {
			fmt.Fprintf(&b, " %sExecutors=%d", x, counts[x])
		}
	}
	fmt.Fprintf(&b, " withoutBatchExecutors=%d", withoutBatch)
	return b.String()
}

// reportCapacity reports the capacity of each service at regular intervals.
func (s *Shard) reportCapacity(now clock.Millis, pools map[unit.Service]*executorPool) {
	if now < s.capacityReportedAt.Add(capacityReportInterval) {
		return
	}
	s.capacityReportedAt = now
	waiting := 0
	for k := range s.readySteps {
		if j := s.jobs.Get(k.job); j != nil && j.Spec != nil && j.Spec.Steps[k.step].Perpetual {
			tasks := j.tasks(k)
			for i := range tasks {
				if tasks[i].State == TaskReady {
					waiting++
				}
			}
		}
	}
	for service, pool := range pools {
		var total, perpetual, batch, largest unit.MilliCPU
		reserved := 0
		for _, e := range pool.executors {
			total += e.Capacity.CPU
			perpetual += e.perpetual.CPU
			batch += e.allocated.CPU - e.perpetual.CPU
			if e.reservedForBatch {
				reserved++
			}
			largest = max(largest, e.Capacity.CPU-e.allocated.CPU)
		}
		s.report(Event{Kind: "capacity", Reason: fmt.Sprintf("service=%s executors=%d cpu=%d perpetualCPU=%d batchCPU=%d largestFreeCPU=%d waitingPerpetual=%d batchNeedCPU=%d reservedExecutors=%d",
			service, len(pool.executors), total, perpetual, batch, largest, waiting, s.batchDemandOf(service).need(), reserved)})
	}
}
