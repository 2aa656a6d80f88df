package rig

import (
	"fmt"
	"strings"
	"time"
)

// gangFailsEarly submits gangs of 24 tasks to twelve executors of which one fails
// all that it starts, and looks for jobs that are shown as failed before their gang
// has failed max_attempts times.
func gangFailsEarly(recordPath string) {
	const maxAttempts = 2
	r := newRig(recordPath, 12, maxAttempts)
	r.startSchedulers("")
	if r.trouble {
		r.log.printf("%s fails all that it starts from now on", r.executors[5].id)
		r.executors[5].setFailAll(true)
	}
	begun := time.Now()
	var jobs []*job
	for range 3 {
		j, ok := r.submit(step{Count: 24, CPU: 1800, Mem: 1000, Estimate: 1500, Gang: true, duration: 1500 * time.Millisecond})
		if !ok {
			cannotRun("a submission was not accepted")
		}
		jobs = append(jobs, j)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Until(begun.Add(6500 * time.Millisecond)))
	r.executors[5].setFailAll(false)
	r.log.printf("%s is sound again", r.executors[5].id)
	var broken []string
	for _, j := range jobs {
		state := ""
		r.await("end of "+j.id, 30*time.Second, func() bool {
			state = r.state(j.id)
			return state == "completed" || state == "failed"
		})
		if state != "failed" {
			continue
		}
		failedRuns, ofTask := make(map[int]int), make(map[string]int)
		for _, e := range r.runs.list() {
			if strings.HasPrefix(e.task, j.id+".") && e.how == "failed" {
				failedRuns[e.run]++
				ofTask[e.task]++
			}
		}
		most := 0
		for _, n := range ofTask {
			most = max(most, n)
		}
		if len(failedRuns) < maxAttempts && most < maxAttempts {
			broken = append(broken, fmt.Sprintf("LOST: %s is shown as failed after %d failed run of its gang, %d members failed in it, no task failed more than %d times, max_attempts %d", j.id, len(failedRuns), len(ofTask), most, maxAttempts))
		}
	}
	r.finish(broken)
}
