package process

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosadock/standin/upstream"
)

// seedCount returns the number of random runs, from MIMOSA_SEEDS or 2.
func seedCount(t *testing.T) uint64 {
	text := os.Getenv("MIMOSA_SEEDS")
	if text == "" {
		return 2
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards four invariants while upstreams fail at random in all modes and
// requests of callers time out: no order runs twice (I6), no request that is
// reported as not run has run (I5), no response is truncated or belongs to
// another request (I4), and no upstream has more concurrent requests than slots
// (I1).
func TestInvariantsUnderFailures(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkInvariants(t, seed) })
	}
}

// checkInvariants sends requests from concurrent clients while upstreams fail,
// then checks the invariants.
func checkInvariants(t *testing.T, seed uint64) {
	const clients, requestsPerClient = 24, 20
	s := startProcess(t, 4, 0)
	done := make(chan struct{})
	var injector, wg sync.WaitGroup
	var mu sync.Mutex
	verdicts := map[string]string{} // by request id
	verdictCounts := map[string]int{}
	injector.Go(func() { s.injectFailures(rand.New(rand.NewPCG(seed, 0)), done) })
	for c := range clients {
		r := rand.New(rand.NewPCG(seed, uint64(c+1)))
		wg.Go(func() {
			for i := range requestsPerClient {
				service := []string{"order", "lookup", "report"}[r.IntN(3)]
				deadline := []string{"20", "200", "700"}[r.IntN(3)]
				id := fmt.Sprintf("%s-%d-%d", service, c, i)
				verdict := s.sendAndCheck(t, service, id, deadline, r.IntN(30))
				mu.Lock()
				verdicts[id] = verdict
				verdictCounts[verdict]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(done)
	injector.Wait()
	t.Log(verdictCounts)
	for id, verdict := range verdicts {
		ran := 0
		for _, u := range s.upstreams {
			ran += u.RunCount(id)
		}
		if strings.HasPrefix(id, "order") && ran > 1 {
			t.Errorf("%s ran %d times", id, ran)
		}
		if verdict == "didNotRun" && ran > 0 {
			t.Errorf("%s was reported as not run but ran", id)
		}
	}
	for _, u := range s.upstreams {
		if u.MaxInFlight() > 8 {
			t.Errorf("%d concurrent requests on an upstream with 8 slots", u.MaxInFlight())
		}
	}
}

// injectFailures changes the failure modes of the upstreams at random until done
// is closed.
func (s *testProcess) injectFailures(r *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		u := s.upstreams[r.IntN(len(s.upstreams))]
		u.SetMode(upstream.Mode(r.IntN(int(upstream.Busy) + 1)))
		if r.IntN(2) == 0 {
			u.SetMode(upstream.Healthy)
		}
		if r.IntN(8) == 0 {
			u.Refuse()
			_ = u.Resume()
		}
	}
}

// sendAndCheck sends a request and returns its outcome: "answered" for a 200
// response, whose body is checked; "cut" without a complete response; otherwise
// the verdict in the response.
func (s *testProcess) sendAndCheck(t *testing.T, service, id, deadline string, ms int) string {
	body := id + strings.Repeat("x", ms*500)
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/s/%s/?ms=%d", s.CallerAddress(), service, ms), strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return ""
	}
	r.Header.Set("Mimosa-Request-Id", id)
	r.Header.Set("Mimosa-Deadline-Ms", deadline)
	resp, err := http.DefaultClient.Do(r)
	var response []byte
	if err == nil {
		response, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	switch {
	case err != nil:
		return "cut"
	case resp.StatusCode != http.StatusOK:
		return resp.Header.Get("Mimosa-Verdict")
	case string(response) != body:
		t.Errorf("%s: response has %d bytes and is not the expected one of %d bytes", id, len(response), len(body))
	}
	return "answered"
}
