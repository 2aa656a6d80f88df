package process

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/standin/fleet"
)

// eventually waits until a condition holds.
func (s *cluster) eventually(what string, holds func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: not within 30 s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards the upkeep of machines: each goes down once, one at a time, without a
// task that is run twice, also when the process that plans it stops midway.
func TestMaintenanceWave(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 0)
	m := fleet.NewMachines(4, s.executor)
	t.Cleanup(m.Close)
	s.machines = m.Address()
	a, b := s.start(), s.start()
	for i := range 4 {
		status, _ := s.call(a, http.MethodPost, jobID(i), twoSteps)
		is.Equal(status, http.StatusOK)
	}
	s.store.Put("keyed.op", "wave/3", fleet.Wave(3, []string{"m-0", "m-1", "m-2", "m-9"}, 20*time.Second, 1))
	s.eventually("first upkeep", func() bool { completed, _ := m.Upkeeps(3); return completed > 0 })
	a.stop()
	<-a.done
	s.eventually("wave completed", func() bool { return strings.Contains(string(s.store.Get("keyed.status", "wave/3")), "completed") })
	completed, maxConcurrent := m.Upkeeps(3)
	is.Equal(completed, 3)
	is.Equal(maxConcurrent, 1)
	for i := range 4 {
		s.await(b, jobID(i), "completed")
	}
	s.checkRunOnce(4 * 5)
}

// Guards queues that need advice: tasks start only where it allows them, with a
// ticket.
func TestAdvisedQueue(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 0)
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		x := s.executor(id)
		x.Tickets = true
		t.Cleanup(x.Close)
	}
	v := fleet.NewAdvisor("i-1")
	t.Cleanup(v.Close)
	s.advisor = v.Address()
	a := s.start()
	status, _ := s.callPath(a, http.MethodPost, "/advised/"+jobID(1), twoSteps)
	is.Equal(status, http.StatusOK)
	s.eventually("completed", func() bool {
		_, body := s.callPath(a, http.MethodGet, "/advised/"+jobID(1), "")
		return strings.Contains(body, "completed")
	})
	s.checkRunOnce(5)
	for _, runs := range s.runs {
		is.Equal(runs[0].Executor, "i-1")
	}
}
