package estimate

import "math"

// Moments holds the running mean and variance of samples. The zero value has
// no samples.
//
// The update is that of B. P. Welford, "Note on a method for calculating
// corrected sums of squares and products", Technometrics 4(3), 1962.
type Moments struct {
	N    int     `json:"n" cbor:"1,keyasint"` // number of samples, at most maxSamples
	Mean float64 `json:"mean" cbor:"2,keyasint"`
	M2   float64 `json:"m2" cbor:"3,keyasint"` // sum of the squared differences from the mean
}

// maxSamples bounds the weight of old samples, so that a change of a kind
// shows in the estimates after about that number of new samples.
const maxSamples = 200

// Add adds a sample.
func (m *Moments) Add(x float64) {
	if m.N >= maxSamples {
		m.M2 -= m.M2 / float64(m.N)
		m.N--
	}
	m.N++
	d := x - m.Mean
	m.Mean += d / float64(m.N)
	m.M2 += d * (x - m.Mean)
}

// StdDev returns the standard deviation of the samples, or 0 for fewer than
// two.
func (m *Moments) StdDev() float64 {
	if m.N < 2 {
		return 0
	}
	return math.Sqrt(max(0, m.M2) / float64(m.N-1))
}

// UpperUsage returns the usage to plan for one of the n tasks of the kind
// that share the given capacity. The sum of n independent samples has a
// standard deviation that grows only with the square root of n, so each task
// adds two standard deviations divided by that root to the mean. If the
// capacity holds one task, the result is the mean plus two standard
// deviations.
func (m *Moments) UpperUsage(capacity float64) float64 {
	if m.Mean <= 0 {
		return 2 * m.StdDev()
	}
	n := max(1, math.Floor(capacity/m.Mean))
	return m.Mean + 2*m.StdDev()/math.Sqrt(n)
}
