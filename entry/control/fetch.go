package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/unit"
)

// fetchRetryInterval is the shortest time between two requests for a text.
const fetchRetryInterval = clock.Second

// FetchText requests the configuration that a member has in force.
type FetchText struct {
	Above unit.Revision `cbor:"1,keyasint"` // only a higher revision is sent
}

// SendText is the response to [FetchText]. It holds the configuration in force.
// Packed is the deflated text.
type SendText struct {
	Revision unit.Revision         `cbor:"1,keyasint"`
	Hash     config.Hash           `cbor:"2,keyasint"`
	Packed   []byte                `cbor:"3,keyasint"`
	History  []config.HistoryEntry `cbor:"4,keyasint"` // accepted changes, oldest first
}

var (
	_ Deliverer = (*FetchText)(nil)
	_ Deliverer = (*SendText)(nil)
)

// fetchState holds the state of requests for the configuration of members.
type fetchState struct {
	lastFetch clock.Millis // time of the last request; zero before the first
	parseText func(*SendText)
}

// SetTextParser sets the function that checks received texts outside the
// control goroutine, because the check takes too long for it. The function must
// not block. Its result arrives as [AdoptVersion]. SetTextParser must be called
// before Run.
func (l *Loop) SetTextParser(f func(*SendText)) { l.state.parseText = f }

// recordRevision stores the revision that a member reports and requests its
// text if the revision is higher than the one in force. Members report their
// revision in every heartbeat, so a lost response leads to another request.
func (s *State) recordRevision(from unit.Instance, revision unit.Revision, now clock.Millis) {
	if m := s.node.Members.Get(from); m != nil {
		RevisionReported{Instance: from, DataCentre: m.DataCentre, Revision: revision}.Apply(s, now)
	}
	if revision <= s.Revision || s.parseText == nil || s.lastFetch > 0 && now.Sub(s.lastFetch) < fetchRetryInterval {
		return
	}
	s.lastFetch = max(now, 1)
	s.post(from, &FetchText{Above: s.Revision}, now)
}

// Deliver responds with the configuration in force if its revision is above the
// requested one.
func (m *FetchText) Deliver(s *State, from unit.Instance, now clock.Millis) {
	v := s.register.InForce()
	if v.Revision <= m.Above {
		return
	}
	packed, err := config.Pack(v.Source)
	if err != nil {
		return
	}
	s.post(from, &SendText{Revision: v.Revision, Hash: v.Hash, Packed: packed, History: s.register.History()}, now)
}

// Deliver passes a newer text to the parse function.
func (m *SendText) Deliver(s *State, _ unit.Instance, _ clock.Millis) {
	if m.Revision > s.Revision && s.parseText != nil {
		s.parseText(m)
	}
}
