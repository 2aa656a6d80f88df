package profile

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func validProfile() Profile {
	return Profile{Rate: 100, Factor: 10, SwingFrom: 2 * time.Second, SwingTo: 4 * time.Second, Climb: time.Second, Duration: 6 * time.Second, Total: 10_000}
}

// Guards against a run that overloads the host or does not end because of a
// mistyped flag.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*Profile)
		ok     bool
	}{
		"valid":           {change: func(*Profile) {}, ok: true},
		"no rate":         {change: func(p *Profile) { p.Rate = 0 }},
		"peak too high":   {change: func(p *Profile) { p.Factor = 1000 }},
		"shrinking swing": {change: func(p *Profile) { p.Factor = 0.5 }},
		"endless":         {change: func(p *Profile) { p.Duration = 31 * time.Minute }},
		"no total":        {change: func(p *Profile) { p.Total = 0 }},
		"total too high":  {change: func(p *Profile) { p.Total = MaxTotal + 1 }},
		"swing reversed":  {change: func(p *Profile) { p.SwingTo = 0 }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := validProfile()
			tc.change(&p)
			is.Equal(p.Check() == nil, tc.ok)
		})
	}
}

// Guards against a number of requests that differs from the integral of the rate,
// and against a run that exceeds its total.
func TestTimesFollowTheRate(t *testing.T) {
	is := is.New(t)
	p := validProfile()
	times := p.AppendTimes(nil)
	// The rate is 100/s outside the swing, 1000/s for one second at the peak and
	// 550/s on average in climb and fall. The sum is 200 + 550 + 1000 + 550 + 100
	// requests.
	is.True(math.Abs(float64(len(times)-2400)) <= 2)
	for i := 1; i < len(times); i++ {
		is.True(times[i] >= times[i-1])
	}
	p.Total = 7
	is.Equal(len(p.AppendTimes(nil)), 7)
}
