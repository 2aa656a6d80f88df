package rig3

import (
	"fmt"
	"time"
)

// runImages hands in standing submissions whose tasks serve, each with an image of
// its own, and counts the processes that end by themselves. Without the trouble, the
// submissions share five images.
func runImages(root string, r *record, trouble bool) error {
	const (
		services = 20
		few      = 5
		length   = 40 * time.Second
	)
	d, err := openDeployment(root, r, deploymentSize{
		processes: 7, executors: 1, cpu: 16000, maxHold: 6 * time.Second, tail: func(string) int64 { return 20 },
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	begin := time.Now()
	accepted := 0
	for n := range services {
		image := n
		if !trouble {
			image %= few
		}
		if d.requester.submit(jobID(100+n), &submission{Spec: "standing", Steps: []step{{
			Count: 1, CPU: 500, Memory: 500, EstimatedMs: 270, Perpetual: true, TargetMs: 50, Image: fmt.Sprintf("tag-feed-%02d", image),
		}}}, 5) {
			accepted++
		}
	}
	r.add("%d of %d standing submissions accepted", accepted, services)
	// Ordinary requests go on meanwhile.
	asked, answered := 0, 0
	for n := 0; time.Since(begin) < length; n++ {
		time.Sleep(500 * time.Millisecond)
		asked++
		if _, ok := d.requester.state(jobID(100+n%services), 1); ok {
			answered++
		}
	}
	r.add("%d of %d requests for a state were answered with it", answered, asked)
	several, total := 0, 0
	for _, p := range d.processes {
		n := p.ends()
		total += n
		if n >= 3 {
			several++
		}
		r.add("%s has ended by itself %d times", p.name, n)
	}
	// A tenth of the machines, two at least, three times each.
	if several >= 2 {
		r.violate("Fault: processes end by themselves three times on %d of %d machines, %d times in all, with no disturbance", several, len(d.processes), total)
	}
	return nil
}
