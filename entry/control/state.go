package control

import (
	"mimosadock/schedule/clock"
	"mimosadock/schedule/route"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Self identifies the process. It comes from the settings.
type Self struct {
	Instance   unit.Instance   `json:"instance"`
	Host       unit.Host       `json:"host"`
	DataCentre unit.DataCentre `json:"dataCentre"`
	Address    string          `json:"address"` // peer address, "ip:port"
}

// State holds the tables of a process. Only the control goroutine uses it.
type State struct {
	Self          Self
	Text          *service.Text // services text in force; nil before the first
	Revision      unit.Revision // revision of Text; zero before the first
	Draining      bool
	clock         clock.Clock
	routes        *route.View
	tickRequested bool // a tick runs right after the current message
	routeState
	journalState
	configState
	snapshotState
	auditState
	fetchState
	slotState
	memberState
	workState
}

// RequestTick makes the loop run a tick right after the current message.
func (s *State) RequestTick() { s.tickRequested = true }

func (s *State) view() *View {
	return &View{
		Ready:    s.Text != nil && s.readiness.Ready(s.Revision) && !s.Draining,
		Draining: s.Draining,
		Revision: s.Revision,
		Text:     s.Text,
		Config:   s.register.InForce(),
		History:  s.register.History(),
		Routes:   s.routes,
		Work:     s.workViews,
	}
}
