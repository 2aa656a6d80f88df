package rig

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// load submits jobs of the given steps, one an interval, until stop is closed. It
// returns the accepted ones when all submissions have ended.
func (r *rig) load(stop <-chan struct{}, interval time.Duration, steps ...step) []*job {
	var mu sync.Mutex
	var accepted []*job
	var g sync.WaitGroup
	for {
		select {
		case <-stop:
			g.Wait()
			return accepted
		case <-time.After(interval):
		}
		g.Add(1)
		go func() {
			defer g.Done()
			if j, ok := r.submit(steps...); ok {
				mu.Lock()
				accepted = append(accepted, j)
				mu.Unlock()
			}
		}()
	}
}

// runsTwice cuts three of fifteen executors off one way for 5 s. They crash behind
// the cut and start again under their ids. It looks for tasks that start again after
// a run of theirs has ended done and the end was taken note of.
func runsTwice(recordPath string) {
	r := newRig(recordPath, 15, 2)
	r.startSchedulers("")
	stop := make(chan struct{})
	loaded := make(chan []*job)
	go func() {
		loaded <- r.load(stop, 50*time.Millisecond, step{Count: 6, CPU: 1400, Mem: 1000, Estimate: 1000, duration: time.Second})
	}()
	time.Sleep(6 * time.Second)
	victims := r.executors[4:7]
	if r.trouble {
		for _, x := range victims {
			x.cutOneWay()
		}
	}
	time.Sleep(time.Second)
	if r.trouble {
		for _, x := range victims {
			x.end("crash")
		}
		time.Sleep(300 * time.Millisecond)
		for _, x := range victims {
			x.start()
		}
	}
	time.Sleep(3700 * time.Millisecond)
	if r.trouble {
		for _, x := range victims {
			x.heal()
		}
	}
	time.Sleep(5 * time.Second)
	close(stop)
	<-loaded
	time.Sleep(4 * time.Second)
	r.finish(append(r.startsAfterDone(), r.overlaps()...))
}

// startsAfterDone returns the starts of tasks of which a run had ended done before,
// if that end was taken note of.
func (r *rig) startsAfterDone() []string {
	var out []string
	done := make(map[string]entry)
	for _, e := range r.runs.list() {
		if d, ok := done[e.task]; ok && !e.from.Before(d.to) {
			out = append(out, fmt.Sprintf("TWICE: run %d of %s starts on %s %d ms after run %d ended done on %s, which was taken note of after %d ms", e.run, e.task, e.executor, e.from.Sub(d.to).Milliseconds(), d.run, d.executor, d.noted.Sub(d.to).Milliseconds()))
		}
		if e.how == "done" && !e.noted.IsZero() {
			done[e.task] = e
		}
	}
	return out
}

// overlaps returns the tasks with two runs at the same time.
func (r *rig) overlaps() []string {
	var out []string
	byTask := make(map[string][]entry)
	for _, e := range r.runs.list() {
		if e.to.IsZero() {
			e.to = time.Now()
		}
		for _, o := range byTask[e.task] {
			from, to := e.from, e.to
			if o.from.After(from) {
				from = o.from
			}
			if o.to.Before(to) {
				to = o.to
			}
			if both := to.Sub(from); both > 0 {
				out = append(out, fmt.Sprintf("TWICE: run %d of %s on %s and run %d on %s, both for %d ms", o.run, e.task, o.executor, e.run, e.executor, both.Milliseconds()))
			}
		}
		byTask[e.task] = append(byTask[e.task], e)
	}
	return out
}

// runsOnAfterCancel restarts two of fifteen executors under their ids after 4.8 s
// of silence. Once all is calm, it cancels all jobs and looks for tasks that run on.
func runsOnAfterCancel(recordPath string) {
	const (
		cancelLimit = 3 * time.Second        // cancel_ms
		stopLimit   = 200 * time.Millisecond // stop_timeout_ms
	)
	r := newRig(recordPath, 15, 2)
	r.startSchedulers("")
	stop := make(chan struct{})
	loaded := make(chan []*job)
	go func() {
		loaded <- r.load(stop, 40*time.Millisecond, step{Count: 4, CPU: 150, Mem: 200, Estimate: 24000, duration: 24 * time.Second})
	}()
	time.Sleep(5 * time.Second)
	victims := r.executors[4:6]
	if r.trouble {
		for _, x := range victims {
			x.proxy.setMode(dropAll)
			x.end("crash")
		}
	}
	time.Sleep(4800 * time.Millisecond)
	if r.trouble {
		for _, x := range victims {
			x.start()
			x.proxy.setMode(forward)
		}
	}
	close(stop)
	accepted := <-loaded
	time.Sleep(8 * time.Second) // over contact_ms without a disturbance
	acknowledged := make(map[string]time.Time)
	var mu sync.Mutex
	var g sync.WaitGroup
	for _, j := range accepted {
		g.Add(1)
		go func() {
			defer g.Done()
			if status, _ := r.retry(http.MethodDelete, j.id, nil); status == http.StatusOK {
				mu.Lock()
				acknowledged[j.id] = time.Now()
				mu.Unlock()
			}
		}()
	}
	g.Wait()
	r.log.printf("%d of %d cancels are acknowledged", len(acknowledged), len(accepted))
	time.Sleep(8 * time.Second)
	var broken []string
	for _, e := range r.runs.list() {
		at, ok := acknowledged[strings.SplitN(e.task, ".", 2)[0]]
		end := e.to
		if end.IsZero() {
			end = time.Now()
		}
		if late := end.Sub(at) - cancelLimit - stopLimit; ok && late > 0 {
			broken = append(broken, fmt.Sprintf("UNASKED: run %d of %s on %s ran on until %d ms after its cancelling was acknowledged, %s", e.run, e.task, e.executor, end.Sub(at).Milliseconds(), howOf(e)))
		}
	}
	r.finish(broken)
}

func howOf(e entry) string {
	if e.how == "" {
		return "and runs still"
	}
	return "then ended " + e.how
}
