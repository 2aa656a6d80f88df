package dispatch

import (
	"maps"
	"slices"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

const (
	// priorWeight is the weight of an image without samples.
	priorWeight = 0.4
	// priorStrength is the weight of the prior in the fit: the ratio of the
	// variance of a measured change of load (0.02) to that of the weights
	// (0.16).
	priorStrength = 0.12
	// fitInterval is the shortest interval between two fits.
	fitInterval = clock.Second
	// fitDecay is the factor applied to earlier samples at each fit. How an
	// image interferes changes within tens of seconds.
	fitDecay = 0.98
	// minSampleGap and maxSampleGap bound the time between two samples that
	// are compared. Samples that are closer share part of the half second that
	// the measurements cover. Over a longer gap the own load of a serving task
	// changes.
	minSampleGap = 400 * clock.Millisecond
	maxSampleGap = 1300 * clock.Millisecond
	// minHarmfulWeight is the weight below which an image counts as adding no
	// load.
	minHarmfulWeight = 0.12
	// minSumOfSquares is the sum of squared usage changes of an image from which
	// the standard deviation of its weight is below 0.15. A usage of 1 is all
	// processors of one executor.
	minSumOfSquares = 1
	// idleLatencyRatio is the ratio of the tail latency without load to the
	// lowest one measured. Measured serving tasks run at a fifth of their
	// capacity or more.
	idleLatencyRatio = 0.78
	// maxModels is the number of serving images that have a model, and
	// maxModelImages the number of best-effort images in a model. Callers choose the
	// images, and a model takes space and time for each pair of them.
	maxModels      = 16
	maxModelImages = 48
	// modelRetention is how long a model is kept after its last sample while another
	// image needs one. An image that serves is sampled with each run list of its
	// executors.
	modelRetention = 10 * clock.Second
)

// InterferenceModel models the load that best-effort images add to the serving
// tasks of one image on the same executor.
//
// The tail latency of a serving task is modelled as that of a queue,
// idle/(1-load). Its own load and the load that the tasks beside it add are
// summed up. The weight of a best-effort image is the load that it adds for
// each whole executor that it uses. Weights differ by pair of images, so each
// serving image has its own fit: least squares with a prior (ridge regression;
// A. Hoerl and R. Kennard, "Ridge regression: biased estimation for
// nonorthogonal problems", Technometrics 12, 1970). The fit uses changes
// between two samples of an executor, in which the own load mostly cancels.
//
// The zero value has no images.
//
// A new owner continues with the exported fields, which are stored.
type InterferenceModel struct {
	Least   float64      `cbor:"1,keyasint"` // lowest tail latency measured, ms
	Images  []unit.Image `cbor:"2,keyasint"` // best-effort images, in the order of the rows
	Sums    [][]float64  `cbor:"3,keyasint"` // products of usage changes
	Moments []float64    `cbor:"4,keyasint"` // products of usage and load changes

	index     map[unit.Image]int
	weights   []float64
	fittedAt  clock.Millis
	sampledAt clock.Millis // when the last sample was added
}

// valid reports whether the dimensions of the fields match and are within bounds,
// and a tail latency was measured.
func (m *InterferenceModel) valid() bool {
	if len(m.Images) > maxModelImages || len(m.Sums) != len(m.Images) || len(m.Moments) != len(m.Images) {
		return false
	}
	for _, r := range m.Sums {
		if len(r) != len(m.Images) {
			return false
		}
	}
	return m.Least > 0
}

// InterferenceModels returns the interference models by serving image. They are
// valid until the next call to the shard.
func (s *Shard) InterferenceModels() map[unit.Image]*InterferenceModel { return s.interferenceModels }

// RestoreInterferenceModels sets the interference models that a former owner
// stored. It ignores invalid ones, and those above maxModels. A model counts as sampled
// now, since the run lists of its image are still to come.
func (s *Shard) RestoreInterferenceModels(now clock.Millis, stored map[unit.Image]*InterferenceModel) {
	s.interferenceModels = make(map[unit.Image]*InterferenceModel, len(stored))
	for _, i := range slices.Sorted(maps.Keys(stored)) {
		m := stored[i]
		if m == nil || !m.valid() || len(s.interferenceModels) == maxModels {
			continue
		}
		m.sampledAt = now
		m.index = make(map[unit.Image]int, len(m.Images))
		for n, f := range m.Images {
			m.index[f] = n
		}
		m.fittedAt = now.Add(-fitInterval)
		m.fit(now)
		s.interferenceModels[i] = m
	}
}

// weight returns the load that an image adds for each whole executor that it
// uses, or priorWeight if the image is unknown.
func (m *InterferenceModel) weight(image unit.Image) float64 {
	if m == nil {
		return priorWeight
	}
	if n, ok := m.index[image]; ok && n < len(m.weights) {
		return max(0, m.weights[n])
	}
	return priorWeight
}

// knownHarmless reports whether the samples of an image suffice to conclude
// that it adds hardly any load.
func (m *InterferenceModel) knownHarmless(image unit.Image) bool {
	if m == nil {
		return false
	}
	n, ok := m.index[image]
	return ok && m.Sums[n][n] >= minSumOfSquares && m.weight(image) < minHarmfulWeight
}

// loadAt returns the load at which the tail latency has the given value, in
// ms.
func (m *InterferenceModel) loadAt(latency float64) float64 {
	if m == nil {
		return 0
	}
	return max(0, 1-idleLatencyRatio*m.Least/latency)
}

// addImage adds an image to the rows. In a full model it replaces the image with the
// least information that is not in use. It returns false if all are.
func (m *InterferenceModel) addImage(image unit.Image, inUse map[unit.Image]float64) bool {
	if m.index == nil {
		m.index = make(map[unit.Image]int)
	}
	if len(m.Images) == maxModelImages {
		return m.replaceImage(image, inUse)
	}
	n := len(m.Images)
	m.index[image] = n
	m.Images = append(m.Images, image)
	for r := range m.Sums {
		m.Sums[r] = append(m.Sums[r], 0)
	}
	m.Sums = append(m.Sums, make([]float64, n+1))
	m.Moments = append(m.Moments, 0)
	return true
}

// replaceImage gives the row of the image with the smallest sum of squares, of those
// not in use, to another image. Sums decay, so that this is one that has not run for
// long or hardly changed its usage. It returns false if all are in use.
func (m *InterferenceModel) replaceImage(image unit.Image, inUse map[unit.Image]float64) bool {
	n := -1
	for i, old := range m.Images {
		if _, ok := inUse[old]; !ok && (n < 0 || m.Sums[i][i] < m.Sums[n][n]) {
			n = i
		}
	}
	if n < 0 {
		return false
	}
	delete(m.index, m.Images[n])
	m.index[image], m.Images[n], m.Moments[n] = n, image, 0
	clear(m.Sums[n])
	for r := range m.Sums {
		m.Sums[r][n] = 0
	}
	if n < len(m.weights) {
		m.weights[n] = priorWeight
	}
	return true
}

// addSample adds a change of usage by image, in executors, and the sum of the changes
// of load of a number of tasks at the same time. Images for which the model has no row
// are left out.
func (m *InterferenceModel) addSample(usageChange map[unit.Image]float64, loadChange float64, tasks int) {
	for i := range usageChange {
		if _, ok := m.index[i]; !ok && !m.addImage(i, usageChange) {
			break
		}
	}
	type row struct {
		n      int
		change float64
	}
	rows := make([]row, 0, min(len(usageChange), maxModelImages))
	for i, u := range usageChange {
		if n, ok := m.index[i]; ok {
			rows = append(rows, row{n, u})
		}
	}
	for _, r := range rows {
		m.Moments[r.n] += r.change * loadChange
		for _, other := range rows {
			m.Sums[r.n][other.n] += float64(tasks) * r.change * other.change
		}
	}
}

// fit computes the weights from the samples, at most once in fitInterval. It
// reports whether it did.
func (m *InterferenceModel) fit(now clock.Millis) bool {
	if now < m.fittedAt.Add(fitInterval) || len(m.Images) == 0 {
		return false
	}
	m.fittedAt = now
	n := len(m.Images)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = append(append(make([]float64, 0, n+1), m.Sums[i]...), m.Moments[i]+priorStrength*priorWeight)
		rows[i][i] += priorStrength
		for k := range m.Sums[i] {
			m.Sums[i][k] *= fitDecay
		}
		m.Moments[i] *= fitDecay
	}
	m.weights = solveLinear(rows)
	return true
}

// solveLinear solves a system of linear equations with a positive definite
// matrix by Gaussian elimination. Each row ends with its right-hand side.
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

// interferenceSample holds the measurements of a run list that the
// interference models use.
type interferenceSample struct {
	at            clock.Millis           // when the run list came
	tailLatencies map[TaskID]tailLatency // of serving tasks at full progress
	usage         map[unit.Image]float64 // processor time that best-effort images use, in executors
}

// tailLatency is a measured tail latency of a serving task and its target.
type tailLatency struct {
	image   unit.Image
	latency float64 // ms
	target  float64 // ms
}

// addRun adds the measurement of a run on e to sample, if its task is a
// serving or a best-effort one. A serving task counts only at full progress,
// which is 100 percent, the same value as fullPace.
func (sample *interferenceSample) addRun(e *Executor, step *Step, r *RunningRun) {
	switch {
	case step.TailTarget > 0 && r.Progress == fullPace && r.Measurement > 0:
		if sample.tailLatencies == nil {
			sample.tailLatencies = make(map[TaskID]tailLatency)
		}
		sample.tailLatencies[r.Task] = tailLatency{step.Image, float64(r.Measurement), float64(step.TailTarget)}
	case step.Fills && e.Capacity.CPU > 0:
		if sample.usage == nil {
			sample.usage = make(map[unit.Image]float64)
		}
		sample.usage[step.Image] += float64(r.Measurement) / float64(e.Capacity.CPU)
	}
}

// usageSince returns the change of usage from before to sample.
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
