package dispatch

import "mimosadock/schedule/clock"

const (
	// delayedStopAge is the time since the end of a job was stored after which a run
	// that is left is reported. A stop takes a few tens of milliseconds if its
	// executor answers.
	delayedStopAge = 1500 * clock.Millisecond
	// stopReportInterval is the interval between two reports of the same run.
	stopReportInterval = clock.Second
	// maxStopChecksPerMilli is the number of tasks of an ended job for which the
	// interval between two checks is a millisecond.
	maxStopChecksPerMilli = 500
	// maxAnomalies is the number of anomalies in a stopReportInterval. Further ones
	// are reported as ordinary events.
	maxAnomalies = 50
)

// stopEndedJobs marks the runs of jobs that have ended to be stopped, once the
// end is stored. A job without runs loses its spec and its occurrences.
func (s *Shard) stopEndedJobs(now clock.Millis) {
	remaining := s.stoppingJobs[:0]
	for _, id := range s.stoppingJobs {
		j := s.jobs.Get(id)
		if j == nil || !j.hasRunsToStop {
			continue
		}
		if j.storedState != j.State || now < j.stopsCheckedAt.Add(stopCheckInterval(j)) {
			remaining = append(remaining, id)
			continue
		}
		j.stopsCheckedAt = now
		hasRuns := false
		s.forEachTask(id, j, func(tid TaskID, _ *Step, t *Task) {
			switch {
			case t.State == TaskReady || t.State == TaskBlocked || t.State == TaskPlaced:
				if t.State == TaskPlaced {
					if e := s.executors.Get(t.Executor); e != nil {
						s.removeRun(e, tid)
					}
				}
				t.State = TaskEnded
			case t.State == TaskStarting || t.State == TaskRunning:
				hasRuns = true
				t.State, t.confirmedAt, t.inFlight = TaskStopping, 0, false
				s.markUnsettled(tid)
			case t.State == TaskStopping:
				hasRuns = true
			}
		})
		if hasRuns && j.stopsSince == 0 {
			j.stopsSince = now
		}
		if !hasRuns {
			if j.stopsSince > 0 {
				s.report(Event{Kind: "runsStopped", Task: TaskID{Job: id}, Reason: j.State.String(), Age: now.Sub(j.stopsSince)})
			}
			j.hasRunsToStop, j.Spec, j.Occurrences, j.openTasks = false, nil, nil, 0
			s.removeBytes(j)
			s.markDirty(id, j)
			continue
		}
		remaining = append(remaining, id)
	}
	s.stoppingJobs = remaining
}

// stopCheckInterval returns the interval at which the tasks of an ended job are
// checked: 0 for most jobs, and longer for those with thousands of rows.
func stopCheckInterval(j *Job) clock.Span { return clock.Span(j.openTasks / maxStopChecksPerMilli) }

// reportDelayedStops reports the runs of ended jobs that are left too long after
// the end was stored, with what their stop waits for.
func (s *Shard) reportDelayedStops(now clock.Millis) {
	if now < s.nextStopReportAt {
		return
	}
	s.nextStopReportAt, s.anomalies = now.Add(stopReportInterval), 0
	for _, id := range s.stoppingJobs {
		j := s.jobs.Get(id)
		if j == nil || j.stopsSince == 0 || now.Sub(j.stopsSince) < delayedStopAge {
			continue
		}
		s.forEachTask(id, j, func(tid TaskID, _ *Step, t *Task) {
			if t.State == TaskStopping {
				s.reportAnomaly(Event{
					Kind: "stopDelayed", Task: tid, Run: t.Run, Executor: t.Executor, Reason: s.stopState(t), Age: now.Sub(j.stopsSince),
				})
			}
		})
	}
}

// reportAnomaly reports an event about a run that should not occur without a
// fault.
func (s *Shard) reportAnomaly(e Event) {
	s.anomalies++
	e.Anomaly = s.anomalies <= maxAnomalies
	s.report(e)
}

// stopState says what the stop of a run waits for.
func (s *Shard) stopState(t *Task) string {
	e := s.executors.Get(t.Executor)
	switch {
	case e == nil:
		return "executor is unknown"
	case e.Address == "":
		return "executor has no address"
	case e.Incarnation != 0 && t.Incarnation != e.Incarnation:
		return "executor has restarted"
	case t.confirmedAt > 0:
		return "stop is confirmed, list of runs is missing"
	case e.unresponsive:
		return "executor does not answer"
	case t.inFlight:
		return "stop has no answer yet"
	}
	return "stop is not sent"
}

// whyUnexpected says why a run that e lists is not one that the tables have there.
func (s *Shard) whyUnexpected(e *Executor, r *RunningRun) string {
	j := s.jobs.Get(r.Task.Job)
	_, _, t := s.findTask(r.Task)
	switch {
	case j == nil:
		return "job is unknown"
	case t == nil:
		return "job has ended"
	case t.Run != r.Run:
		return "another run is the current one"
	case t.Executor != e.Executor:
		return "run is assigned to another executor"
	}
	return "task is " + t.State.String()
}
