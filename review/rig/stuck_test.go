package rig

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// manyImages keeps tasks of five images that serve at work, and submits jobs that
// fill beside them, each with an image of its own. Without trouble, the jobs share nine
// images. It looks for accepted jobs whose second step waits beside free executors.
func manyImages(recordPath string) {
	const (
		fewImages = 9
		jobs      = 270
		interval  = 170 * time.Millisecond
	)
	r := newRig(recordPath, 15, 2)
	r.startSchedulers("")
	for i := range 5 {
		if _, ok := r.submit(step{Count: 5, CPU: 3200, Mem: 6400, Estimate: 270, Perpetual: true, Target: 50, Image: fmt.Sprintf("serve-%d", i)}); !ok {
			cannotRun("a submission was not accepted")
		}
	}
	var mu sync.Mutex
	var accepted []*job
	var g sync.WaitGroup
	for i := range jobs {
		name := fmt.Sprintf("batch-%03d", i)
		if !r.trouble {
			name = fmt.Sprintf("batch-%03d", i%fewImages)
		}
		g.Add(1)
		go func() {
			defer g.Done()
			j, ok := r.submit(
				step{Count: 8, CPU: 1800, Mem: 1000, Estimate: 2300, Fills: true, Image: name, duration: 2300 * time.Millisecond},
				step{After: []int{0}, Count: 2, CPU: 1800, Mem: 1000, Estimate: 1000, Fills: true, Image: name, duration: time.Second})
			if ok {
				mu.Lock()
				accepted = append(accepted, j)
				mu.Unlock()
			}
		}()
		time.Sleep(interval)
	}
	g.Wait()
	r.log.printf("%d of %d submissions were accepted", len(accepted), jobs)
	time.Sleep(15 * time.Second)
	r.finish(r.stuck(accepted))
}

// largeSubmission sends one scheduled submission of many occurrences amid small jobs
// of two steps. It looks for accepted jobs whose second step waits beside free
// executors.
func largeSubmission(recordPath string) {
	const (
		occurrences = 1300
		width       = 36 // the largest of the site
		minute      = int64(60_000)
	)
	r := newRig(recordPath, 15, 3)
	r.startSchedulers("")
	stop := make(chan struct{})
	loaded := make(chan []*job)
	go func() {
		loaded <- r.load(stop, 300*time.Millisecond,
			step{Count: 4, CPU: 1100, Mem: 500, Estimate: 1000, duration: time.Second},
			step{After: []int{0}, Count: 2, CPU: 1100, Mem: 500, Estimate: 500, duration: 500 * time.Millisecond})
	}()
	time.Sleep(6 * time.Second)
	if r.trouble {
		go r.submitJob(&job{
			Spec: "text", Repeat: occurrences, StartAt: time.Now().UnixMilli() - occurrences*minute, Interval: minute,
			Steps: []step{{Count: width, CPU: 100, Mem: 100, Estimate: 200, duration: 200 * time.Millisecond}},
		})
	}
	time.Sleep(5 * time.Second)
	close(stop)
	accepted := <-loaded
	time.Sleep(20 * time.Second)
	r.finish(r.stuck(accepted))
}

// stuck returns the accepted jobs of two steps whose first step has been done for
// longer than LOST allows and of which nothing runs, while over half of the capacity
// is free.
func (r *rig) stuck(accepted []*job) []string {
	const waitLimit = 3 * time.Second
	now, inUse := time.Now(), 0
	done, last, begun := make(map[string]int), make(map[string]time.Time), make(map[string]int)
	for _, e := range r.runs.list() {
		parts := strings.Split(e.task, ".")
		id, st := parts[0], parts[2]
		switch {
		case e.to.IsZero():
			inUse += r.stepOf(e.task).reservedCPU()
		case st == "0" && e.how == "done":
			done[id]++
			if e.to.After(last[id]) {
				last[id] = e.to
			}
		}
		if st == "1" {
			begun[id]++
		}
	}
	r.log.printf("%d of %d thousandths of a core are in use", inUse, len(r.executors)*capacityCPU)
	var out []string
	for _, j := range accepted {
		waited := now.Sub(last[j.id])
		if done[j.id] == j.Steps[0].Count && begun[j.id] == 0 && waited > waitLimit && inUse < len(r.executors)*capacityCPU/2 {
			out = append(out, fmt.Sprintf("LOST: %s was accepted, its step 0 has been done for %.1f s, no task of step 1 has started, its state is %q", j.id, waited.Seconds(), r.state(j.id)))
		}
	}
	_, ok := r.submit(step{Count: 1, CPU: 100, Mem: 100, Estimate: 100, duration: 100 * time.Millisecond})
	r.log.printf("a new job of one task is accepted: %t", ok)
	return out
}
