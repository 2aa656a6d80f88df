package rig3

import (
	"sync"
	"time"
)

const finishTime = 14 * time.Second // finish_s of the settings

// runSchedule hands in ordinary submissions of two steps, and meanwhile one that can
// never be done: the schedule of a day, whose tasks need more processors than any
// executor has. It then asks for all ordinary submissions.
func runSchedule(root string, r *record, trouble bool) error {
	const (
		traffic      = 30 * time.Second
		troubleAfter = 6 * time.Second
		executors    = 12
	)
	d, err := openDeployment(root, r, deploymentSize{
		processes: 7, executors: executors, cpu: 16000, maxHold: 6 * time.Second, tail: func(string) int64 { return 20 },
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	begin := time.Now()
	var mu sync.Mutex
	accepted := make(map[string]time.Time)
	sent := 0
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			sleepUntil(begin.Add(troubleAfter))
			const times, interval = 8640, 10 * time.Second // a day
			s := &submission{
				Spec: "schedule of a day", Repeat: times, Interval: interval.Milliseconds(), StartAt: time.Now().Add(-times * interval).UnixMilli(),
			}
			for range 12 {
				s.Steps = append(s.Steps, step{Count: 1, CPU: 40000, Memory: 1000, EstimatedMs: 1000, work: time.Second})
			}
			id := jobID(1)
			ok := d.requester.submit(id, s, 5)
			r.add("the schedule that can never be done is accepted: %t", ok)
		})
	}
	for n := 0; time.Since(begin) < traffic; n++ {
		sent++
		group.Go(func() {
			id := jobID(1000 + n)
			if d.requester.submit(id, &submission{Spec: "ordinary", Steps: []step{
				{Count: 2, CPU: 1000, Memory: 1000, EstimatedMs: 1500, work: 1500 * time.Millisecond},
				{Count: 2, CPU: 1000, Memory: 1000, EstimatedMs: 500, After: []int{0}, work: 500 * time.Millisecond},
			}}, 4) {
				mu.Lock()
				defer mu.Unlock()
				accepted[id] = time.Now()
			}
		})
		time.Sleep(140 * time.Millisecond) // over 20 in 3 s, beside one that can never be done
	}
	group.Wait()
	r.add("%d of %d ordinary submissions were accepted", len(accepted), sent)
	end := time.Now()
	// Whether the executors have been idle for 3 s all the while that follows.
	idleSince := time.Now()
	for time.Since(end) < finishTime {
		for _, x := range d.executors {
			if x.runs() > 0 {
				idleSince = time.Now()
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	idle := time.Since(idleSince)
	r.add("all %d executors have been idle for %.1f s", executors, idle.Seconds())
	unanswered, unfinished := 0, 0
	var checks sync.WaitGroup
	for id := range accepted {
		if idle >= 3*time.Second && d.jobs.unfinished(id) {
			unfinished++
			r.add("%s is accepted and unfinished", id)
		}
		checks.Go(func() {
			if _, ok := d.requester.state(id, 4); !ok {
				mu.Lock()
				defer mu.Unlock()
				unanswered++
			}
		})
	}
	checks.Wait()
	r.add("%d of %d accepted submissions are asked for without an answer; %d have a task that was not done before", unanswered, len(accepted), unfinished)
	if unanswered > 0 {
		r.violate("LOST: %d of %d accepted submissions get no answer with their state, %s after the end of the traffic and later", unanswered, len(accepted), finishTime)
	}
	if unfinished > 0 {
		r.violate("LOST: %d of %d accepted submissions have nothing running, with all executors idle for %.1f s", unfinished, len(accepted), idle.Seconds())
	}
	return nil
}
