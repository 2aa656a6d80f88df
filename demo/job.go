package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"text/tabwriter"

	"github.com/charmbracelet/log"

	"mimosadock/entry/control"
	"mimosadock/entry/process"
	"mimosadock/entry/setting"
	"mimosadock/schedule/group"
	"mimosadock/schedule/service"
	"mimosadock/standin/upstream"
)

// upstreams is the number of stand-in executors.
const upstreams = 2

// row is one line of the table that the main job prints.
type row struct {
	work string
	sent int64
	done int64
	note string
	ok   bool
}

// run starts the parts, sends the requests and returns what happened.
func run(ctx context.Context, checks int) ([]row, error) {
	executors := make([]*upstream.Upstream, upstreams)
	addresses := make([]string, upstreams)
	for i := range executors {
		executors[i] = new(upstream.Upstream)
		srv := httptest.NewServer(executors[i])
		defer srv.Close()
		addresses[i] = srv.Listener.Addr().String()
	}
	text, err := service.Parse([]byte(servicesText(addresses)))
	if err != nil {
		return nil, err
	}
	p, err := process.Open(setting.Settings{Listen: "127.0.0.1:0", Operator: "127.0.0.1:0", DataCentre: "kelso", LogLevel: "warn"}, log.New(io.Discard))
	if err != nil {
		return nil, err
	}
	g := group.New(ctx)
	g.Go("entry", func(ctx context.Context) error { return p.Run(ctx, context.Background()) })
	if err := p.Loop.Send(ctx, control.SetText{Revision: 1, Text: text}); err != nil {
		return nil, err
	}
	if err := waitReady(ctx, p); err != nil {
		return nil, err
	}
	rows := traffic(ctx, p.CallerAddress(), checks, executors)
	g.Stop()
	return rows, g.Wait()
}

func servicesText(addresses []string) string {
	var members strings.Builder
	for _, a := range addresses {
		fmt.Fprintf(&members, "\n      - {address: %q, dataCentre: kelso}", a)
	}
	return fmt.Sprintf(`version: 1
capacity: {cpu: 64000, memory: 65536}
dataCentres:
  - {name: kelso, region: lowland}
teams:
  - {name: marts, quota: {cpu: 32000, memory: 32768}}
upstreamSets:
  - name: weighbook
    slots: 8
    members:%s
services:
  - {name: lookup, team: marts, class: urgent, upstreamSet: weighbook, deadlineMs: 2000, idempotent: true}
  - {name: order, team: marts, class: standard, upstreamSet: weighbook, deadlineMs: 4000}
  - {name: watch, team: marts, class: long, upstreamSet: weighbook, deadlineMs: 60000}
`, members.String())
}

func waitReady(ctx context.Context, p *process.Process) error {
	for !p.Loop.View().Ready {
		resp, err := http.Get("http://" + p.CallerAddress() + "/ready")
		if err != nil {
			return err
		}
		resp.Body.Close()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// traffic sends one long watch, one order and many short checks at once.
func traffic(ctx context.Context, address string, checks int, executors []*upstream.Upstream) []row {
	g := group.New(ctx)
	var watched, ordered, checked atomic.Int64
	g.Go("watch", func(ctx context.Context) error { return send(ctx, address, "watch", "watch-1", 300, &watched) })
	g.Go("order", func(ctx context.Context) error { return send(ctx, address, "order", "order-1", 20, &ordered) })
	g.Go("checks", func(ctx context.Context) error {
		for i := range checks {
			if err := send(ctx, address, "lookup", fmt.Sprintf("check-%d", i), 1, &checked); err != nil {
				return err
			}
		}
		return nil
	})
	err := g.Wait()
	orders, peak := 0, int64(0)
	for _, e := range executors {
		orders += e.Ran("order-1")
		peak = max(peak, e.Peak())
	}
	return []row{
		{"short checks", int64(checks), checked.Load(), fmt.Sprint("error: ", err), checked.Load() == int64(checks)},
		{"orders (not idempotent)", 1, ordered.Load(), fmt.Sprintf("ran %d time(s) at the upstreams", orders), orders == 1},
		{"long watch", 1, watched.Load(), "beside the checks", watched.Load() == 1},
		{"upstream slots", 8, peak, "most in flight on one upstream", peak <= 8},
	}
}

func send(ctx context.Context, address, service, id string, ms int, done *atomic.Int64) error {
	url := fmt.Sprintf("http://%s/s/%s/?ms=%d", address, service, ms)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(id))
	if err != nil {
		return err
	}
	req.Header.Set("Mimosa-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(body) != id {
		return fmt.Errorf("%s: status %d: %s", id, resp.StatusCode, body)
	}
	done.Add(1)
	return nil
}

// printRows writes the table and reports whether every row is as it should be.
func printRows(w io.Writer, rows []row) bool {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "work\tsent\tdone\tresult\tnote")
	ok := true
	for _, r := range rows {
		result := "ok"
		if !r.ok {
			result, ok = "SHORT", false
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%s\n", r.work, r.sent, r.done, result, r.note)
	}
	tw.Flush()
	return ok
}
