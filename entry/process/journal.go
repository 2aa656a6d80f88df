package process

import (
	"context"

	"mimosadock/entry/control"
	"mimosadock/entry/stream"
	"mimosadock/platform"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/group"
	"mimosadock/schedule/snapshot"
)

// journalStream holds the journal client and the goroutines that read and write
// the journal for the control loop.
type journalStream struct {
	client *platform.Journal
	reader *stream.Reader
	writer *stream.Writer
}

// openJournal connects the control loop to the journal. It does nothing if the
// settings have no journal.
func (p *Process) openJournal() {
	if p.settings.Journal == "" {
		return
	}
	client := platform.NewJournal(p.settings.Journal)
	j := &journalStream{client: client, writer: stream.NewWriter(client, clock.System{})}
	j.reader = &stream.Reader{
		Journal:    client,
		Clock:      clock.System{},
		ObserveEnd: j.writer.ObserveEnd,
		Deliver:    control.DeliverTo(p.Loop),
	}
	p.Loop.SetSubmitter(j.writer.Offer)
	p.Loop.SetRecover(j.reader.Recover)
	p.Loop.SetSnapshotLimits(snapshot.DefaultLimits)
	p.journal = j
}

// run starts the goroutines of the stream. On a nil stream it does nothing.
func (j *journalStream) run(g *group.Group) {
	if j == nil {
		return
	}
	g.Go("journalReader", j.reader.Run)
	g.Go("journalWriter", func(ctx context.Context) error {
		defer j.client.Close()
		return j.writer.Run(ctx)
	})
}

// parseText unpacks and checks a services text from a peer in a separate
// goroutine. It sends a valid text to the control loop and discards an invalid
// one.
func (p *Process) parseText(m *control.SendText) {
	p.group.Go("text", func(ctx context.Context) error {
		source, err := config.Unpack(m.Packed)
		if err != nil {
			return nil
		}
		v, err := config.CheckVersion(m.Revision, m.Hash, source)
		if err != nil {
			return nil
		}
		_ = p.Loop.Send(ctx, control.AdoptVersion{Version: v, History: m.History})
		return nil
	})
}
