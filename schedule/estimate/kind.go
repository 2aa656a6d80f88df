package estimate

import (
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

// Terms of the estimates.
const (
	// minSamples is how many samples an estimate needs before it is used.
	minSamples = 5
	// stragglerFactor times the p90 of a kind is where a straggler begins.
	stragglerFactor  = 3
	p90Quantile = 0.9
)

// Kind is what is known of one kind of work. The zero value knows nothing.
type Kind struct {
	CPU      Moments `json:"cpu" cbor:"1,keyasint"` // peak of an attempt, milli CPU
	Memory   Moments `json:"memory" cbor:"2,keyasint"`
	RunTime  Moments `json:"runTime" cbor:"3,keyasint"` // of whole tasks, ms
	runTimes table.Ring[clock.Span]
	sorted   []clock.Span // of times; nil after a new sample
}

// AddUsage adds the peak usage of an attempt.
func (k *Kind) AddUsage(peak unit.Resources) {
	k.CPU.Add(float64(peak.CPU))
	k.Memory.Add(float64(peak.Memory))
}

// HasUsage reports whether enough samples of the usage are known to use it.
func (k *Kind) HasUsage() bool { return k.CPU.N >= minSamples }

// AddRunTime adds the run time of a whole task.
func (k *Kind) AddRunTime(s clock.Span) {
	k.RunTime.Add(float64(s))
	k.runTimes.Add(s)
	k.sorted = nil
}

// Size returns the size to reserve for a task: the greater of what is declared
// and what a task takes that shares the given capacity with others of its kind
// (see [Moments.High]), once enough samples are known, and never over the
// capacity. Accelerators are as declared.
func (k *Kind) Size(declared, capacity unit.Resources) unit.Resources {
	size := declared
	if k != nil && k.HasUsage() {
		size.CPU = min(max(size.CPU, unit.MilliCPU(k.CPU.UpperUsage(float64(capacity.CPU)))), max(capacity.CPU, declared.CPU))
		size.Memory = min(max(size.Memory, unit.MiB(k.Memory.UpperUsage(float64(capacity.Memory)))), max(capacity.Memory, declared.Memory))
	}
	return size
}

// Expected returns the run time of a task: the mean of what was measured, or
// what is declared while too few samples are known.
func (k *Kind) Expected(declared clock.Span) clock.Span {
	if k == nil || k.RunTime.N < minSamples {
		return declared
	}
	return clock.Span(k.RunTime.Mean)
}

// P90 returns the run time that nine in ten of the last tasks did not exceed,
// or 0 while too few samples are known.
func (k *Kind) P90() clock.Span {
	if k == nil || k.runTimes.Len() < minSamples {
		return 0
	}
	if k.sorted == nil {
		k.sorted = k.runTimes.AppendTo(nil)
		slices.Sort(k.sorted)
	}
	return k.sorted[int(p90Quantile*float64(len(k.sorted)-1))]
}

// IsStraggler reports whether a task that has run for the given time straggles
// against its own kind.
func (k *Kind) IsStraggler(ran clock.Span) bool {
	p := k.P90()
	return p > 0 && ran > stragglerFactor*p
}
