package profile

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func usable() Profile {
	return Profile{Rate: 100, Factor: 10, From: 2 * time.Second, To: 4 * time.Second, Climb: time.Second, Duration: 6 * time.Second, Total: 10_000}
}

// Guards against a mistyped flag that floods the host or never ends.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(*Profile)
		ok     bool
	}{
		"usable":          {change: func(*Profile) {}, ok: true},
		"no rate":         {change: func(p *Profile) { p.Rate = 0 }},
		"peak too high":   {change: func(p *Profile) { p.Factor = 1000 }},
		"shrinking swing": {change: func(p *Profile) { p.Factor = 0.5 }},
		"endless":         {change: func(p *Profile) { p.Duration = 31 * time.Minute }},
		"no total":        {change: func(p *Profile) { p.Total = 0 }},
		"total too high":  {change: func(p *Profile) { p.Total = MaxTotal + 1 }},
		"swing reversed":  {change: func(p *Profile) { p.To = 0 }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := usable()
			tc.change(&p)
			is.Equal(p.Check() == nil, tc.ok)
		})
	}
}

// Guards against a schedule that sends another amount than the profile says.
func TestTimesFollowTheRate(t *testing.T) {
	is := is.New(t)
	p := usable()
	times := p.AppendTimes(nil)
	// 100/s outside, 1000/s for a second at the peak, 550/s in climb and fall:
	// 200 + 550 + 1000 + 550 + 100 requests.
	is.True(math.Abs(float64(len(times)-2400)) <= 2)
	for i := 1; i < len(times); i++ {
		is.True(times[i] >= times[i-1])
	}
	p.Total = 7
	is.Equal(len(p.AppendTimes(nil)), 7)
}
