package dispatch

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// priorWeight is the weight of an image of which nothing is known.
	priorWeight = 0.4
	// priorStrength is the weight of the prior in the fit: the ratio of the
	// variance of a measured change (0.02) to that of the weights (0.16).
	priorStrength = 0.12
	// fitInterval is the span between two fits.
	fitInterval = clock.Second
	// fitDecay is what earlier samples count with each fit: images change how
	// they disturb within tens of seconds.
	fitDecay = 0.98
	// Looks are compared that lie this far apart: less shares the half second
	// that the figures speak of, more lets the own load of a service change.
	minSampleGap = 400 * clock.Millisecond
	maxSampleGap = 1300 * clock.Millisecond
	// minHarmfulWeight is the weight under which an image is not held responsible.
	minHarmfulWeight = 0.12
	// minKnownSquares is the sum of squares of changes of use from which the
	// deviation of a weight is under 0.15.
	minKnownSquares = 1
	// idleLatencyRatio is the tail latency without load as a share of the least that
	// was seen; services are seen at a fifth of their capacity or more.
	idleLatencyRatio = 0.78
)

// Pressure learns how much tasks that fill load a service image beside them.
//
// The tail latency of a service is taken as that of a queue, idle/(1-load): its
// own load and that of the tasks beside it add up. The weight of an image is
// the load that it adds for each whole executor that it uses. Weights differ
// by pair of images, so each service image has its own fit: least squares with
// a prior (ridge regression; A. Hoerl and R. Kennard, "Ridge regression: biased
// estimation for nonorthogonal problems", Technometrics 12, 1970) over changes
// between two looks at an executor, in which the own load mostly cancels.
//
// The zero value knows no image.
//
// The exported fields are what a successor of the owner needs to go on.
type Pressure struct {
	Least   float64      `cbor:"1,keyasint"` // least tail latency seen, ms
	Images  []unit.Image `cbor:"2,keyasint"` // that the rows speak of
	Sums    [][]float64  `cbor:"3,keyasint"` // products of changes of use
	Moments []float64    `cbor:"4,keyasint"` // products of changes of use and load

	index    map[unit.Image]int
	weights  []float64
	fittedAt clock.Millis
}

// valid reports whether the rows of p fit together.
func (p *Pressure) valid() bool {
	if len(p.Sums) != len(p.Images) || len(p.Moments) != len(p.Images) {
		return false
	}
	for _, r := range p.Sums {
		if len(r) != len(p.Images) {
			return false
		}
	}
	return p.Least > 0
}

// Learned returns what the shard has learned of each image of serving tasks.
// The values are valid until the next call to the shard.
func (s *Shard) Learned() map[unit.Image]*Pressure { return s.interferenceModels }

// Learn takes what a former owner has learned. Rows that do not fit together
// are left out.
func (s *Shard) Learn(now clock.Millis, learned map[unit.Image]*Pressure) {
	s.interferenceModels = make(map[unit.Image]*Pressure, len(learned))
	for i, p := range learned {
		if p == nil || !p.valid() {
			continue
		}
		p.index = make(map[unit.Image]int, len(p.Images))
		for n, f := range p.Images {
			p.index[f] = n
		}
		p.fittedAt = now.Add(-fitInterval)
		p.fit(now)
		s.interferenceModels[i] = p
	}
}

// weight returns the load that an image adds for each whole executor.
func (p *Pressure) weight(image unit.Image) float64 {
	if p == nil {
		return priorWeight
	}
	if n, ok := p.index[image]; ok && n < len(p.weights) {
		return max(0, p.weights[n])
	}
	return priorWeight
}

// knownHarmless reports whether enough is known of an image to say that it
// hardly disturbs.
func (p *Pressure) knownHarmless(image unit.Image) bool {
	if p == nil {
		return false
	}
	n, ok := p.index[image]
	return ok && p.Sums[n][n] >= minKnownSquares && p.weight(image) < minHarmfulWeight
}

// loadAt returns the load at which the tail latency is as given, in ms.
func (p *Pressure) loadAt(latency float64) float64 {
	if p == nil {
		return 0
	}
	return max(0, 1-idleLatencyRatio*p.Least/latency)
}

func (p *Pressure) imageIndex(image unit.Image) int {
	if n, ok := p.index[image]; ok {
		return n
	}
	if p.index == nil {
		p.index = make(map[unit.Image]int)
	}
	n := len(p.Images)
	p.index[image] = n
	p.Images = append(p.Images, image)
	for r := range p.Sums {
		p.Sums[r] = append(p.Sums[r], 0)
	}
	p.Sums = append(p.Sums, make([]float64, n+1))
	p.Moments = append(p.Moments, 0)
	return n
}

// addSample takes a change of use by image, in executors, and the change of load
// that came with it.
func (p *Pressure) addSample(usageChange map[unit.Image]float64, loadChange float64) {
	for i, u := range usageChange {
		n := p.imageIndex(i)
		p.Moments[n] += u * loadChange
		for k, v := range usageChange {
			p.Sums[n][p.imageIndex(k)] += u * v
		}
	}
}

// fit fits the weights, at most once in solveEvery.
func (p *Pressure) fit(now clock.Millis) {
	if now < p.fittedAt.Add(fitInterval) || len(p.Images) == 0 {
		return
	}
	p.fittedAt = now
	n := len(p.Images)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = append(append(make([]float64, 0, n+1), p.Sums[i]...), p.Moments[i]+priorStrength*priorWeight)
		rows[i][i] += priorStrength
		for k := range p.Sums[i] {
			p.Sums[i][k] *= fitDecay
		}
		p.Moments[i] *= fitDecay
	}
	p.weights = solveLinear(rows)
}

// solveLinear solves a system of linear equations whose matrix is positive
// definite. Each row ends with its right side.
func solveLinear(rows [][]float64) []float64 {
	n := len(rows)
	for i := range n {
		for r := i + 1; r < n; r++ {
			f := rows[r][i] / rows[i][i]
			for c := i; c <= n; c++ {
				rows[r][c] -= f * rows[i][c]
			}
		}
	}
	x := make([]float64, n)
	for i := n - 1; i >= 0; i-- {
		x[i] = rows[i][n]
		for c := i + 1; c < n; c++ {
			x[i] -= rows[i][c] * x[c]
		}
		x[i] /= rows[i][i]
	}
	return x
}

// interferenceSample is what a list of an executor's runs tells about disturbance.
type interferenceSample struct {
	at    clock.Millis
	tails map[TaskID]tailLatency // of serving tasks at work
	usage map[unit.Image]float64 // processor time of tasks that fill, in executors
}

// tailLatency is the tail latency of a serving task.
type tailLatency struct {
	image   unit.Image
	latency float64 // ms
	target  float64 // ms
}

func (sample *interferenceSample) addRun(e *Executor, step *Step, r *RunningRun) {
	switch {
	case step.TailTarget > 0 && r.Progress == fullPace && r.Figure > 0:
		if sample.tails == nil {
			sample.tails = make(map[TaskID]tailLatency)
		}
		sample.tails[r.Task] = tailLatency{step.Image, float64(r.Figure), float64(step.TailTarget)}
	case step.Fills && e.Capacity.CPU > 0:
		if sample.usage == nil {
			sample.usage = make(map[unit.Image]float64)
		}
		sample.usage[step.Image] += float64(r.Figure) / float64(e.Capacity.CPU)
	}
}

// usageSince returns the change of use from before to l.
func (sample *interferenceSample) usageSince(before *interferenceSample) map[unit.Image]float64 {
	change := make(map[unit.Image]float64, len(sample.usage)+len(before.usage))
	for i, u := range sample.usage {
		change[i] += u
	}
	for i, u := range before.usage {
		change[i] -= u
	}
	return change
}
