package estimate

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Bounds of the estimates.
const (
	// minSamples is the number of samples from which an estimate is used.
	minSamples = 5
	// stragglerFactor times the P90 of its kind is the run time above which
	// a task is a straggler.
	stragglerFactor = 3
	p90Quantile     = 0.9
)

// KindEstimate holds the estimates for one kind of work. The zero value has no
// samples.
type KindEstimate struct {
	CPU      Moments                `json:"cpu" cbor:"1,keyasint"`     // peak usage of an attempt, in thousandths of a core
	Memory   Moments                `json:"memory" cbor:"2,keyasint"`  // peak usage of an attempt, in MiB
	RunTime  Moments                `json:"runTime" cbor:"3,keyasint"` // of complete tasks, in ms
	runTimes table.Ring[clock.Span] // recent run times
	sorted   []clock.Span           // sorted runTimes; nil after a new sample
}

// AddUsage adds the peak usage of an attempt to the estimates.
func (k *KindEstimate) AddUsage(peak unit.Resources) {
	k.CPU.Add(float64(peak.CPU))
	k.Memory.Add(float64(peak.Memory))
}

// HasUsage reports whether there are enough usage samples for an estimate.
func (k *KindEstimate) HasUsage() bool { return k.CPU.N >= minSamples }

// AddRunTime adds the run time of a complete task to the estimates.
func (k *KindEstimate) AddRunTime(s clock.Span) {
	k.RunTime.Add(float64(s))
	k.runTimes.Add(s)
	k.sorted = nil
}

// Size returns the resources to reserve for a task. It is the declared size,
// or the estimate of [Moments.UpperUsage] for a worker of the given capacity
// where that is larger and based on enough samples. The estimate never
// exceeds the capacity. Accelerators are as declared.
func (k *KindEstimate) Size(declared, capacity unit.Resources) unit.Resources {
	size := declared
	if k != nil && k.HasUsage() {
		size.CPU = min(max(size.CPU, unit.MilliCPU(k.CPU.UpperUsage(float64(capacity.CPU)))), max(capacity.CPU, declared.CPU))
		size.Memory = min(max(size.Memory, unit.MiB(k.Memory.UpperUsage(float64(capacity.Memory)))), max(capacity.Memory, declared.Memory))
	}
	return size
}

// ExpectedRunTime returns the run time of a task: the mean of the samples, or the
// declared run time while there are too few samples.
func (k *KindEstimate) ExpectedRunTime(declared clock.Span) clock.Span {
	if k == nil || k.RunTime.N < minSamples {
		return declared
	}
	return clock.Span(k.RunTime.Mean)
}

// P90 returns the 90th percentile of the recent run times, or 0 while there
// are too few samples.
func (k *KindEstimate) P90() clock.Span {
	if k == nil || k.runTimes.Len() < minSamples {
		return 0
	}
	if k.sorted == nil {
		k.sorted = k.runTimes.AppendTo(nil)
		slices.Sort(k.sorted)
	}
	return k.sorted[int(p90Quantile*float64(len(k.sorted)-1))]
}

// IsStraggler reports whether a task with the given run time is a straggler
// of its kind.
func (k *KindEstimate) IsStraggler(runTime clock.Span) bool {
	p := k.P90()
	return p > 0 && runTime > stragglerFactor*p
}
