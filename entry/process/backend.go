package process

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"mimosadock/entry/admin"
	"mimosadock/entry/control"
	"mimosadock/schedule/audit"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/member"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// changeTimeout bounds how long a change waits for the journal. It is shorter
// than the request timeout of the administration interface, so that the client
// gets the verdict.
const changeTimeout = 8 * clock.Second

// backend implements [admin.Backend] with queries and messages to the control
// goroutine.
type backend struct {
	process *Process
}

var _ admin.Backend = (*backend)(nil)

func (b *backend) loop() *control.Loop { return b.process.Loop }

// Text returns the services text in force, or nil if there is none.
func (b *backend) Text() *service.Text { return b.loop().View().Text }

// Config returns the configuration in force, with its author if the history has
// its revision.
func (b *backend) Config(ctx context.Context) (admin.Config, error) {
	return control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) admin.Config {
		v := s.InForce()
		c := admin.Config{Revision: v.Revision, Text: string(v.Source)}
		if history := s.History(); len(history) > 0 && history[0].Revision == v.Revision {
			c.Author, c.UnixMs = string(history[0].Author), int64(history[0].When)
		}
		return c
	})
}

// History returns the last accepted changes, newest first.
func (b *backend) History(ctx context.Context, limit int) ([]admin.Config, error) {
	history, err := control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) []config.HistoryEntry { return s.History() })
	rows := make([]admin.Config, 0, min(limit, len(history)))
	for _, e := range history[:min(limit, len(history))] {
		rows = append(rows, admin.Config{Revision: e.Revision, Author: string(e.Author), UnixMs: int64(e.When)})
	}
	return rows, err
}

// Apply proposes a change and waits until its position in the journal decides
// whether it is accepted. If that takes longer than changeTimeout, the verdict is
// MayHaveRun.
func (b *backend) Apply(ctx context.Context, author string, c admin.Change) (unit.Revision, error) {
	change, err := config.NewChange(c.BaseRevision, config.Author(author), config.Stamp(time.Now().UnixMilli()), []byte(c.Text))
	if err != nil {
		return 0, err
	}
	reply := make(chan control.ChangeReply, 1)
	deadline := clock.System{}.Now().Add(changeTimeout)
	a, err := control.SendAndWait(ctx, b.loop(), control.ProposeChange{Change: change, Deadline: deadline, Reply: reply}, reply)
	if err != nil {
		return 0, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "change was not decided in time", Err: err}
	}
	if a.Err != nil {
		return 0, changeError(a)
	}
	return a.Outcome.Version.Revision, nil
}

// changeError converts the reply to a refused change to an error of package
// admin.
func changeError(a control.ChangeReply) error {
	if errors.Is(a.Err, control.ErrStale) {
		return &admin.Conflict{Newer: a.Outcome.Version.Revision, Diff: a.Outcome.Difference()}
	}
	var ve *verdict.Error
	if errors.As(a.Err, &ve) && ve.RetryAfter > 0 {
		return &verdict.Error{Verdict: ve.Verdict, Reason: ve.Reason, RetryAfter: ve.RetryAfter, Err: admin.ErrUnavailable}
	}
	return a.Err
}

// Services returns the services with the slots that this process holds and uses.
func (b *backend) Services(ctx context.Context) ([]admin.Service, error) {
	text := b.Text()
	if text == nil {
		return nil, nil
	}
	totals, err := control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) map[string]control.SlotTotals { return s.SlotTotals() })
	rows := make([]admin.Service, 0, len(text.Services))
	for _, svc := range text.Services {
		t := totals[svc.UpstreamSet]
		rows = append(rows, admin.Service{Service: svc, Upstreams: t.Upstreams, Held: t.Held, Used: t.Used})
	}
	return rows, err
}

// Status returns the summary of the process.
func (b *backend) Status(ctx context.Context) (admin.Status, error) {
	view := b.loop().View()
	st, err := control.Query(ctx, b.loop(), func(s *control.State, now clock.Millis) admin.Status {
		st := admin.Status{Instance: s.Self.Instance, DataCentre: s.Self.DataCentre, Members: s.LiveMembers(now), Owns: s.Owned(), Journal: "none"}
		if b.process.journal != nil {
			st.Journal = s.JournalReadState()
		}
		return st
	})
	st.Ready, st.Revision = view.Ready, view.Revision
	return st, err
}

// Hosts returns the platform's hosts that this process has on record, ordered by
// address.
func (b *backend) Hosts(ctx context.Context) ([]admin.Host, error) {
	hosts, err := control.Query(ctx, b.loop(), func(s *control.State, _ clock.Millis) []member.HostRow { return s.Hosts() })
	rows := make([]admin.Host, 0, len(hosts))
	for _, h := range hosts {
		state := h.State
		if h.Leaving {
			state = member.StateLeaving
		}
		rows = append(rows, admin.Host{
			Address: h.Address, DataCentre: h.DataCentre, Rack: h.Rack, Role: h.Role.String(), State: state.String(), Slots: h.Slots, Capacity: h.Capacity,
		})
	}
	slices.SortFunc(rows, func(x, y admin.Host) int { return cmp.Compare(x.Address, y.Address) })
	return rows, err
}

// Drain appends a record to the journal that a host gets no new work. Every
// process applies the record when it reads it.
func (b *backend) Drain(ctx context.Context, author, address string) error {
	hosts, err := b.Hosts(ctx)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(hosts, func(h admin.Host) bool { return h.Address == address }) {
		return admin.ErrNotFound
	}
	return b.audit(ctx, audit.Entry{Action: audit.Drain, Target: address, Author: author, UnixMs: time.Now().UnixMilli()})
}

// audit appends an audit entry to the journal. If that takes too long, the
// verdict is MayHaveRun.
func (b *backend) audit(ctx context.Context, e audit.Entry) error {
	reply := make(chan error, 1)
	deadline := clock.System{}.Now().Add(changeTimeout)
	failed, err := control.SendAndWait(ctx, b.loop(), control.RecordAudit{Entry: e, Deadline: deadline, Reply: reply}, reply)
	if err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "journal did not answer in time", Err: err}
	}
	return failed
}

// Dump returns the state dump of the process.
func (b *backend) Dump(ctx context.Context) (any, error) { return b.process.State(ctx) }
