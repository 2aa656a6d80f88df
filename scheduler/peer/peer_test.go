package peer

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/group"
	"mimosadock/schedule/verdict"
	"mimosadock/scheduler/control"
)

// stubService accepts every request. If silent is set, it does not reply until
// the context ends.
type stubService struct{ silent bool }

func (a stubService) Request(ctx context.Context, _ *control.Request) (control.Reply, error) {
	if a.silent {
		<-ctx.Done()
	}
	return control.Reply{Status: control.StatusAccepted}, ctx.Err()
}

// TestVerdicts guards against wrong verdicts of requests to other processes. A
// submission may be refused only if its owner can't have received it, and a
// caller must get an outcome if the request was never sent.
func TestVerdicts(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close() // refuses connections from now on
	unresponsive, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unresponsive.Close() }) // connects, but completes no handshake
	serve := func(a stubService) string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s, g := NewServer(a), new(group.Group)
		g.Go("serve", func(context.Context) error { return s.Serve(l) })
		t.Cleanup(func() {
			s.Stop()
			_ = g.Wait() // Serve returns after Stop
		})
		return l.Addr().String()
	}
	for name, c := range map[string]struct {
		address string
		want    verdict.Verdict
	}{
		"replies":            {serve(stubService{}), verdict.Ran},
		"no reply":           {serve(stubService{silent: true}), verdict.MayHaveRun},
		"connection refused": {closed.Addr().String(), verdict.DidNotRun},
		"no handshake":       {unresponsive.Addr().String(), verdict.DidNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var client Client
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			r, err := client.Request(ctx, c.address, &control.Request{Kind: control.KindSubmit})
			if c.want == verdict.Ran {
				is.NoErr(err)
				is.Equal(r.Status, control.StatusAccepted)
				return
			}
			var v *verdict.Error
			is.True(errors.As(err, &v))
			is.Equal(v.Verdict, c.want)
		})
	}
}

// TestRefusedRequests guards against requests of an unknown peer that the tables
// can't hold or that take the memory of the process together.
func TestRefusedRequests(t *testing.T) {
	job := func(payload, tasks int) *dispatch.Spec {
		return &dispatch.Spec{Payload: strings.Repeat("x", payload), Steps: []dispatch.Step{{Count: tasks}}}
	}
	for name, c := range map[string]struct {
		request control.Request
		want    control.Status
	}{
		"job":         {control.Request{Kind: control.KindSubmit, Spec: job(10, 1)}, control.StatusAccepted},
		"invalid job": {control.Request{Kind: control.KindSubmit, Spec: job(10, 0)}, control.StatusRefused},
		"large job":   {control.Request{Kind: control.KindSubmit, Spec: job(4000, 1)}, control.StatusRefused},
		"no job":      {control.Request{Kind: control.KindState}, control.StatusAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewServer(stubService{})
			s.MaxPending = 2000
			for range 3 { // what is pending is freed
				r, err := s.Request(context.Background(), &c.request)
				is.NoErr(err)
				is.Equal(r.Status, c.want)
			}
		})
	}
}
