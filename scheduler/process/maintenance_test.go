package process

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"mimosadock/standin/fleet"
)

// eventually polls a condition until it holds and fails the test after 30 s.
func (s *cluster) eventually(what string, holds func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s: condition did not hold within 30 s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestMaintenanceWave guards against a wave that stalls, or takes a machine down
// twice, when the process that plans it stops midway. Machines must go down one
// at a time, and no task may run twice. m-9 is a machine that does not exist and
// must not block the wave.
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
	s.eventually("first machine in maintenance", func() bool { completed, _ := m.MaintenanceCounts(3); return completed > 0 })
	a.stop()
	<-a.done
	s.eventually("wave completed", func() bool { return strings.Contains(string(s.store.Get("keyed.status", "wave/3")), "completed") })
	completed, maxConcurrent := m.MaintenanceCounts(3)
	is.Equal(completed, 3)
	is.Equal(maxConcurrent, 1)
	for i := range 4 {
		s.await(b, jobID(i), "completed")
	}
	s.checkRunOnce(4 * 5)
}

// TestAdvisedQueue guards against starts that ignore the advisor. Tasks of a queue
// with an advice policy may start only on the executors that the advisor allows,
// and with a ticket.
func TestAdvisedQueue(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 0)
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		x := s.executor(id)
		x.RequireTickets = true
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
