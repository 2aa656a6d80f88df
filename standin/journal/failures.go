package journal

import (
	"context"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/verdict"
)

// Failures selects the ways in which a journal fails. The zero value selects
// none.
type Failures struct {
	Refuse      bool       `json:"refuse"`      // refuses every call at once
	Silent      bool       `json:"silent"`      // calls take no effect and get no answer
	Delay       clock.Span `json:"delayMs"`     // between the effect of a call and its answer
	LoseAnswers int        `json:"loseAnswers"` // number of next appends that take effect and get no answer
}

// SetFailures replaces the selected failures. They apply to later calls and to
// calls of [Memory.Follow] that wait.
func (m *Memory) SetFailures(f Failures) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = f
}

// Failures returns the selected failures.
func (m *Memory) Failures() Failures {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failures
}

// consumeLostAnswer reports whether the answer to this append is lost, and counts
// LoseAnswers down.
func (f *Failures) consumeLostAnswer() bool {
	if f.LoseAnswers == 0 {
		return false
	}
	f.LoseAnswers--
	return true
}

// beforeCall applies the failures that prevent a call from taking effect. With
// Silent it blocks until ctx ends.
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

// afterCall applies the failures of the answer to a call that took effect. The
// answer is lost if lost is set or ctx ends during the delay.
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
