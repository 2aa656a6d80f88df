package rig

import (
	"fmt"
	"time"
)

// playAdvice hands in a submission that lasts, of thirty tasks that must be on
// executors of their own, on a queue with advice. The policy allows the first thirty
// of 48 executors by id and the last six. With trouble, an executor that runs one of
// the tasks is lost for good. The task must run again: LOST allows 6 s after its last
// run and 3 s more, in calm times.
func playAdvice(r *rig, trouble bool) (int, error) {
	const count, tasks, last = 48, 30, 42
	adv := &advisor{
		eligible: make(map[string]bool), decision: 5 * time.Millisecond, perWorker: time.Millisecond, valid: 3 * time.Second,
		log: r.log, expiry: make(map[string]time.Time),
	}
	for i := range count {
		adv.eligible[executorID(i)] = i < tasks || i >= last
	}
	adviceAddress, err := serve(adv)
	if err != nil {
		return failed, err
	}
	r.store.put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"r-1","host":"q.example","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"target_latency_ms":2500,"priority":0,"service":"s","max_attempts":4,"slack_factor":2.2,"advice":{"decision_ms":5,"per_worker_ms":1,"valid_ms":3000}}],"services":[{"name":"s","health_path":"/healthz","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	executors := make([]*executor, count)
	for i := range executors {
		if executors[i], err = startExecutor(r.store, r.log, executorID(i), "s", []string{"a", fmt.Sprintf("r%d", i/6)}, adv.accepts); err != nil {
			return failed, err
		}
	}
	for range 2 {
		if err := r.addScheduler(adviceAddress, ""); err != nil {
			return failed, err
		}
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(4 * time.Second) // until the shards have their owners
	const id = "5c0e7a21d94b36f8"
	step := map[string]any{"count": tasks, "cpu": 3200, "mem_mb": 6400, "estimated_ms": 270, "anti_affinity": 1, "perpetual": true}
	if err := r.submit(r.processes[0], "/q/"+id, map[string]any{"spec": "feed", "steps": []any{step}}); err != nil {
		return failed, err
	}
	runsOn := func(task string) *executor {
		for _, x := range executors {
			if x.has(task) {
				return x
			}
		}
		return nil
	}
	name := func(i int) string { return fmt.Sprintf("%s.0.0.%d", id, i) }
	waiting := func() (names []string) {
		for i := range tasks {
			if runsOn(name(i)) == nil {
				names = append(names, name(i))
			}
		}
		return names
	}
	for end := time.Now().Add(15 * time.Second); len(waiting()) > 0; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return failed, fmt.Errorf("the tasks do not run at the start")
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		x := runsOn(name(0))
		r.log.add("trouble: %s is lost for good", x.id)
		x.crash()
	}
	// The span in which the task may wait: 6 s after its last run. The executor is
	// lost at the beginning, and calm times begin contact_ms later.
	time.Sleep(13 * time.Second)
	var missing time.Time
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		switch names := waiting(); {
		case len(names) == 0:
			missing = time.Time{}
		case missing.IsZero():
			missing = time.Now()
		case time.Since(missing) > 3*time.Second:
			r.log.add("LOST: %v is to last and has not run for 3 s of calm, later than 6 s after its last run; %d executors that may run it are idle", names, count-last)
			r.call(r.processes[0], "GET", "/q/"+id, nil)
			return broken, nil
		}
	}
	return held, nil
}

func executorID(i int) string { return fmt.Sprintf("i-%08x", 0x10000000+i*0x111111) }
