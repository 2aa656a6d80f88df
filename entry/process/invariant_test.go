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

// seeds returns how many random runs are made.
func seeds(t *testing.T) uint64 {
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

// Guards, while upstreams fail in all ways at random and callers give up,
// against an order that runs twice (I6), an order that is reported as not run
// but ran (I5), an answer that is cut or belongs to another request (I4), and
// more requests at an upstream than its slots (I1).
func TestInvariantsUnderFailures(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { checkInvariants(t, seed) })
	}
}

func checkInvariants(t *testing.T, seed uint64) {
	const clients, each = 24, 20
	s := start(t, 4, 0)
	done := make(chan struct{})
	var chaos, wg sync.WaitGroup
	var mu sync.Mutex
	verdicts := map[string]string{} // by request id
	kinds := map[string]int{}
	chaos.Go(func() { s.fail(rand.New(rand.NewPCG(seed, 0)), done) })
	for c := range clients {
		r := rand.New(rand.NewPCG(seed, uint64(c+1)))
		wg.Go(func() {
			for i := range each {
				service := []string{"order", "lookup", "report"}[r.IntN(3)]
				deadline := []string{"20", "200", "700"}[r.IntN(3)]
				id := fmt.Sprintf("%s-%d-%d", service, c, i)
				verdict := s.checkOne(t, service, id, deadline, r.IntN(30))
				mu.Lock()
				verdicts[id] = verdict
				kinds[verdict]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	close(done)
	chaos.Wait()
	t.Log(kinds)
	for id, verdict := range verdicts {
		ran := 0
		for _, u := range s.upstreams {
			ran += u.Ran(id)
		}
		if strings.HasPrefix(id, "order") && ran > 1 {
			t.Errorf("%s ran %d times", id, ran)
		}
		if verdict == "didNotRun" && ran > 0 {
			t.Errorf("%s ran although it was reported as not run", id)
		}
	}
	for _, u := range s.upstreams {
		if u.Peak() > 8 {
			t.Errorf("%d requests at once on an upstream with 8 slots", u.Peak())
		}
	}
}

// fail changes the modes of the upstreams until done is closed.
func (s *started) fail(r *rand.Rand, done <-chan struct{}) {
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

// checkOne sends a request, checks a whole answer and returns the verdict:
// "answered", "cut" or that of the system.
func (s *started) checkOne(t *testing.T, service, id, deadline string, ms int) string {
	body := id + strings.Repeat("x", ms*500)
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/s/%s/?ms=%d", s.CallerAddress(), service, ms), strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return ""
	}
	r.Header.Set("Mimosa-Request-Id", id)
	r.Header.Set("Mimosa-Deadline-Ms", deadline)
	resp, err := http.DefaultClient.Do(r)
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	switch {
	case err != nil:
		return "cut"
	case resp.StatusCode != http.StatusOK:
		return resp.Header.Get("Mimosa-Verdict")
	case string(answer) != body:
		t.Errorf("%s got an answer of %d bytes, not its own of %d", id, len(answer), len(body))
	}
	return "answered"
}
