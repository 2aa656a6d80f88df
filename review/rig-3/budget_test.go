package rig3

import (
	"fmt"
	"sync"
	"time"
)

// noticeTime is notice_ms of the settings.
const noticeTime = 4500 * time.Millisecond

// attendance tells which tasks of a step that lasts are at work.
type attendance struct {
	mu       sync.Mutex
	step     string
	tasks    int
	budget   int
	lastSeen map[string]time.Time // at work
	stopped  map[string]bool      // by an order, and not at work again
	record   *record
}

// see notes the tasks that are at work.
func (a *attendance) see(atWork map[string]time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for task := range atWork {
		a.lastSeen[task] = time.Now()
		delete(a.stopped, task)
	}
}

// recordStop checks a stop of a task that is at work on a sound executor.
func (a *attendance) recordStop(task string, number int, startedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if stepName(task) != a.step || time.Since(startedAt) < perpetualStart {
		return
	}
	away := 0
	for n := range a.tasks {
		other := fmt.Sprintf("%s.%d", a.step, n)
		switch absent := time.Since(a.lastSeen[other]); {
		case other == task:
		case a.stopped[other]:
			away++
			a.record.add("away   %s, ended by an order", other)
		case absent >= noticeTime:
			away++
			a.record.add("away   %s, not at work for %.2f s", other, absent.Seconds())
		}
	}
	a.stopped[task] = true
	a.record.add("order  stops %s run %d, which is at work; %d others are away", task, number, away)
	if away >= a.budget {
		a.record.violate("AVAIL: a stop ends %s, which is at work, while %d others of its step are away; miss_budget is %d", task, away, a.budget)
	}
}

// runBudget loses an executor with a task of a standing submission for good, and
// plays a wave of upkeep a few seconds later over the machines of the other tasks.
func runBudget(root string, r *record, trouble bool) error {
	const (
		machineCount = 18 // one lost is a share of 0.056
		tasks        = 4
		waveAfter    = 4800 * time.Millisecond // the crash
		length       = 25 * time.Second        // of the wave
	)
	d, err := openDeployment(root, r, deploymentSize{
		processes: 7, executors: machineCount, cpu: 16000, maxHold: 10 * time.Second, tail: func(string) int64 { return 20 }, machines: true,
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	id := jobID(10)
	a := &attendance{step: id + ".0.0", tasks: tasks, budget: 1, lastSeen: make(map[string]time.Time), stopped: make(map[string]bool), record: r}
	d.machines.setOnStop(a.recordStop)
	if !d.requester.submit(id, &submission{Spec: "firing watch", Steps: []step{{
		Count: tasks, CPU: 3200, Memory: 6400, EstimatedMs: 270, Perpetual: true, Spread: 1, MissBudget: 1,
	}}}, 5) {
		return fmt.Errorf("the standing submission is not accepted")
	}
	at := make(map[string]string) // machine of each task at work
	look := func() {
		all := make(map[string]time.Time)
		clear(at)
		d.machines.each(func(m *machine) {
			for task, since := range m.executor.atWork(a.step) {
				all[task], at[task] = since, m.id
			}
		})
		a.see(all)
	}
	for until := time.Now().Add(10 * time.Second); len(at) < tasks; time.Sleep(20 * time.Millisecond) {
		if look(); time.Now().After(until) {
			return fmt.Errorf("%d of %d tasks are at work", len(at), tasks)
		}
	}
	r.add("all %d tasks are at work: %v", tasks, at)
	lookUntil := func(t time.Time, done func() bool) {
		for time.Now().Before(t) && !done() {
			look()
			time.Sleep(20 * time.Millisecond)
		}
	}
	never := func() bool { return false }
	lookUntil(time.Now().Add(2*time.Second), never)
	lost := at[a.step+".0"]
	var wave []string
	for n := 1; n < tasks; n++ {
		wave = append(wave, at[fmt.Sprintf("%s.%d", a.step, n)])
	}
	if trouble {
		d.machines.lose(lost)
		r.add("executor of %s is lost for good, with %s.0", lost, a.step)
	}
	lookUntil(time.Now().Add(waveAfter), never)
	d.putWave(1, 20, 1, wave...)
	lookUntil(time.Now().Add(length), func() bool { return d.waveCompleted(1) })
	r.add("the wave is completed: %t", d.waveCompleted(1))
	return nil
}
