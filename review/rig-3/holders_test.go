package rig3

import (
	"net/http"
	"sync"
	"time"
)

// leaseTime is lease_ms of the settings.
const leaseTime = 3 * time.Second

// runHolders plays a wave of upkeep over six machines, one at a time. While the first
// machine is down, a machine is added to the system, so that the store distributes the
// partitions of the group evenly among one more member. It then checks who ordered what for each machine.
func runHolders(root string, r *record, trouble bool) error {
	const (
		machineCount = 6
		length       = 40 * time.Second
		addAfter     = 1400 * time.Millisecond // the first order
	)
	d, err := openDeployment(root, r, deploymentSize{
		processes: 7, executors: machineCount, cpu: 16000, maxHold: 6 * time.Second, tail: func(string) int64 { return 20 }, machines: true, spares: 3,
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	var once sync.Once
	if trouble {
		d.machines.onOrder = func(upkeepOrder) {
			once.Do(func() {
				time.AfterFunc(addAfter, d.spares[0].start)
			})
		}
	}
	d.putWave(1, 40, 1)
	begin := time.Now()
	for time.Since(begin) < length && !d.waveCompleted(1) {
		time.Sleep(100 * time.Millisecond)
	}
	r.add("the wave is completed: %t", d.waveCompleted(1))
	d.machines.mu.Lock()
	defer d.machines.mu.Unlock()
	last := make(map[string]upkeepOrder)
	for _, o := range d.machines.orders {
		if before, ok := last[o.machine]; ok && before.holder != o.holder && o.at.Sub(before.at) < leaseTime && before.status == http.StatusOK && o.status == http.StatusOK {
			r.violate("ONE: %s ordered the upkeep of %s %.2f s after %s had, both in touch; lease_ms is %d",
				o.holder, o.machine, o.at.Sub(before.at).Seconds(), before.holder, leaseTime.Milliseconds())
		}
		last[o.machine] = o
	}
	return nil
}
