package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
	standin "mimosadock/standin/worker"
)

// Guards against a lost response that counts as a refusal, a refusal that counts
// as a start, and a command that is sent twice.
func TestVerdicts(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	tests := map[string]struct {
		delivery     standin.CallOutcome
		epoch        unit.Epoch
		refuseDial   bool
		foreignError bool // the server responds with an error that is not the worker's
		want         verdict.Verdict
		runs         int
		fenced       bool
		arrived      int64
	}{
		"delivered":        {epoch: 5, want: verdict.Ran, runs: 1, arrived: 1},
		"response lost":    {delivery: standin.AnswerLost, epoch: 5, want: verdict.MayHaveRun, runs: 1, arrived: 1},
		"request lost":     {delivery: standin.RequestLost, epoch: 5, want: verdict.MayHaveRun, arrived: 1},
		"refused dial":     {refuseDial: true, epoch: 5, want: verdict.DidNotRun},
		"lower epoch":      {epoch: 3, want: verdict.DidNotRun, fenced: true, arrived: 1},
		"foreign response": {epoch: 5, foreignError: true, want: verdict.MayHaveRun, arrived: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c clock.Manual
			c.Set(1000)
			w := standin.New(&standin.Simulation{Clock: &c, Profile: func(unit.Task, unit.Kind) standin.TaskProfile {
				return standin.TaskProfile{RunTime: clock.Minute}
			}}, "w", unit.Resources{CPU: 4000, Memory: 4000})
			rep, err := w.Renew(worker.Renewal{Epoch: 4})
			is.NoErr(err)
			s := &standin.Server{Worker: w, Network: func(unit.Worker) standin.CallOutcome { return tc.delivery }}
			var arrived atomic.Int64
			h := s.Handler()
			srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				arrived.Add(1)
				if tc.foreignError {
					http.Error(rw, "out of order", http.StatusBadGateway)
					return
				}
				h.ServeHTTP(rw, r)
			}))
			defer srv.Close()
			to := unit.Worker(srv.Listener.Addr().String())
			if tc.refuseDial {
				to = unit.Worker(closed.Addr().String())
			}
			err = new(Workers).Start(context.Background(), to, worker.Start{
				Command:  worker.Command{Epoch: tc.epoch, Task: "plan/0", Attempt: 1},
				Instance: rep.Instance, Stamp: rep.Stamp, Lease: worker.LeaseDuration, Limit: unit.Resources{CPU: 1000, Memory: 1000},
			})
			is.Equal(verdict.Of(err), tc.want)
			is.Equal(len(w.Running(nil)), tc.runs)
			is.Equal(arrived.Load(), tc.arrived)
			_, err = new(Workers).Renew(context.Background(), to, worker.Renewal{Epoch: tc.epoch})
			is.Equal(err != nil && verdict.Of(err) == verdict.DidNotRun && tc.fenced, tc.fenced)
		})
	}
}

// Guards against a call to a paused worker that does not return when its context
// ends, and against the verdict DidNotRun for it, because the worker may still
// run the command.
func TestPausedWorker(t *testing.T) {
	is := is.New(t)
	s := &standin.Server{Worker: standin.New(&standin.Simulation{Clock: clock.System{}}, "w", unit.Resources{})}
	resume := s.Pause()
	ctx, cancel := context.WithCancel(context.Background())
	h := s.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cancel()
		h.ServeHTTP(w, r)
	}))
	defer srv.Close()
	defer resume()
	err := new(Workers).Stop(ctx, unit.Worker(srv.Listener.Addr().String()), worker.Command{Epoch: 1})
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}
