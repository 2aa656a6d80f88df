package process

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"mimosadock/entry/control"
	"mimosadock/entry/setting"
	"mimosadock/schedule/clock"
	"mimosadock/schedule/config"
	"mimosadock/schedule/group"
	"mimosadock/schedule/unit"
	"mimosadock/standin/journal"
)

// Guards against a process that is not connected to its journal over HTTP. Two
// processes must reach the same revision, and a process that starts later must
// become ready with that revision.
func TestProcessesShareTheJournal(t *testing.T) {
	is := is.New(t)
	m := new(journal.Memory)
	srv := httptest.NewServer(journal.Handler(m))
	defer srv.Close()
	var g group.Group
	start := func() *Process {
		p, err := Open(setting.Settings{
			Listen: "127.0.0.1:0", Operator: "127.0.0.1:0", DataCentre: "kelso",
			Journal: srv.Listener.Addr().String(),
		}, log.New(io.Discard))
		is.NoErr(err)
		g.Go("entry", func(ctx context.Context) error { return p.Run(ctx, context.Background()) })
		return p
	}
	one, two := start(), start()
	for i := range 3 {
		awaitRevision(t, one, unit.Revision(i))
		c, err := config.NewChange(unit.Revision(i), "morag", 1, fmt.Appendf(nil, "version: 1\n# %d\n", i))
		is.NoErr(err)
		reply := make(chan control.ChangeReply, 1)
		for { // the process refuses changes until it has read the journal
			is.NoErr(one.Loop.Send(context.Background(), control.ProposeChange{Change: c, Deadline: clock.Never, Reply: reply}))
			if a := <-reply; a.Err == nil {
				break
			}
			time.Sleep(control.TickInterval.Duration())
		}
	}
	want := awaitRevision(t, one, 3)
	for _, p := range []*Process{two, start()} {
		is.Equal(awaitRevision(t, p, 3).Config.Hash, want.Config.Hash)
	}
	g.Stop()
	is.NoErr(g.Wait())
}

// awaitRevision waits until the process is ready with revision r or a later one,
// and returns its view. For revision 0 it returns the first view, because a
// process without a configuration is not ready.
func awaitRevision(t *testing.T, p *Process, r unit.Revision) *control.View {
	for {
		if v := p.Loop.View(); v.Revision >= r && (v.Ready || r == 0) {
			return v
		}
		select {
		case <-t.Context().Done():
			t.Fatal("stopped")
		case <-time.After(control.TickInterval.Duration()):
		}
	}
}
