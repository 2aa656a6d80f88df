package journal

import (
	"context"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/verdict"
)

// Failures are the ways in which a journal fails. The zero value is none.
type Failures struct {
	Refuse      bool       `json:"refuse"`      // every call is refused at once
	Silent      bool       `json:"silent"`      // no call is answered or takes effect
	Delay       clock.Span `json:"delayMs"`     // before every answer, after the call took effect
	LoseAnswers int        `json:"loseAnswers"` // appends to come whose answer is lost after they took effect
}

// SetFailures switches failures on and off.
func (m *Memory) SetFailures(f Failures) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = f
}

// Failures returns the failures that are switched on.
func (m *Memory) Failures() Failures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failures
}

func (f *Failures) consumeLostAnswer() bool {
	if f.LoseAnswers == 0 {
		return false
	}
	f.LoseAnswers--
	return true
}

// beforeCall applies the failures that keep a call from taking effect.
func (f Failures) beforeCall(ctx context.Context) error {
	if f.Refuse {
		return verdict.Refuse("journal refuses calls")
	}
	if f.Silent {
		<-ctx.Done()
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "journal did not answer", Err: ctx.Err()}
	}
	return nil
}

// afterCall applies the failures of the answer to a call that took effect.
func (f Failures) afterCall(ctx context.Context, lost bool) error {
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay.Duration()):
		case <-ctx.Done():
			lost = true
		}
	}
	if lost {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "answer of the journal was lost", Err: ctx.Err()}
	}
	return nil
}
