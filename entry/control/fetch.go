package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/unit"
)

// fetchRetryInterval is the time after which a text is asked for again.
const fetchRetryInterval = clock.Second

// FetchText asks a member for the configuration that it has in force.
type FetchText struct {
	Above unit.Revision `cbor:"1,keyasint"` // nothing is sent that is not higher
}

// SendText is a configuration in force with its text deflated.
type SendText struct {
	Revision unit.Revision `cbor:"1,keyasint"`
	Hash     config.Hash   `cbor:"2,keyasint"`
	Packed   []byte        `cbor:"3,keyasint"`
	History  []config.Past `cbor:"4,keyasint"` // accepted changes, oldest first
}

var (
	_ Body = (*FetchText)(nil)
	_ Body = (*SendText)(nil)
)

// fetchState is what is known of the revisions of members.
type fetchState struct {
	lastFetch clock.Millis // last question for a text; zero before the first
	parseText func(*SendText)
}

// ParseWith sets where received texts are checked, since that takes too long
// for the control goroutine. The function must not wait; its result comes as
// [AdoptVersion]. It is called before Run.
func (l *Loop) ParseWith(f func(*SendText)) { l.state.parseText = f }

// recordRevision notes the revision of a member and asks for its text if it is
// higher. Members tell it in every heartbeat, so a lost answer is asked for
// again.
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

// Deliver answers with the text in force.
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

// Deliver has the text checked.
func (m *SendText) Deliver(s *State, _ unit.Instance, _ clock.Millis) {
	if m.Revision > s.Revision && s.parseText != nil {
		s.parseText(m)
	}
}
