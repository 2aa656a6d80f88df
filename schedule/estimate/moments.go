package estimate

import "math"

// Moments are the running mean and spread of samples. The zero value has none.
//
// The update is that of B. P. Welford, "Note on a method for calculating
// corrected sums of squares and products", Technometrics 4(3), 1962.
type Moments struct {
	N    int     `json:"n" cbor:"1,keyasint"`
	Mean float64 `json:"mean" cbor:"2,keyasint"`
	M2   float64 `json:"m2" cbor:"3,keyasint"`
}

// maxSamples bounds the weight of old samples, so that a change of a kind shows
// after about as many new ones.
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

// StdDev returns the standard deviation of the samples, 0 for fewer than two.
func (m *Moments) StdDev() float64 {
	if m.N < 2 {
		return 0
	}
	return math.Sqrt(max(0, m.M2) / float64(m.N-1))
}

// UpperUsage returns what a sample that shares the given capacity with others of its
// kind takes, two spreads above the mean: the sum of n independent samples
// spreads by the root of n only, so each of them has to keep that much less. A
// capacity that holds one sample gives the mean and two spreads.
func (m *Moments) UpperUsage(capacity float64) float64 {
	if m.Mean <= 0 {
		return 2 * m.StdDev()
	}
	n := max(1, math.Floor(capacity/m.Mean))
	return m.Mean + 2*m.StdDev()/math.Sqrt(n)
}
