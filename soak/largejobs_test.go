package soak

import (
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// largeTaskSize is a size that fits on no executor.
const largeTaskSize = `"cpu":400000,"mem_mb":100,"estimated_ms":100`

// largeJobBodies are submissions of jobs at the bounds of the platform whose tasks fit
// on no executor, so that none of them runs: schedules of a day that are all due, of
// many steps and of perpetual tasks, and a gang.
func largeJobBodies() []string {
	steps := func(n int, step string) string { return strings.TrimSuffix(strings.Repeat("{"+step+"},", n), ",") }
	body := func(steps string, occurrences int) string {
		return `{"spec":"x","steps":[` + steps + `],"repeat_count":` + strconv.Itoa(occurrences) + `,"interval_ms":1,"start_at_ms":1}`
	}
	return []string{
		body(steps(12, `"count":1,`+largeTaskSize), 8640),
		body(steps(64, `"count":1,`+largeTaskSize), 1500),
		body(steps(1, `"count":1,"perpetual":true,`+largeTaskSize), 10_000),
		body(steps(1, `"count":9999,"gang":true,`+largeTaskSize), 1),
	}
}

// injectFaultsBesideLargeJobs submits the large jobs and then starts faults that
// overlap, so that owners of the jobs are replaced.
func (s *scenario) injectFaultsBesideLargeJobs(r *rand.Rand, end time.Time) {
	for n, body := range largeJobBodies() {
		id := "ffffffff" + strconv.Itoa(10_000_000+n)
		for attempt, status := 0, 0; status != http.StatusOK; attempt++ {
			if attempt == maxAttempts {
				s.t.Errorf("large job %d is not accepted, status %d", n, status)
				break
			}
			status, _ = call(s.group.Context(), s.randomProcess(r), http.MethodPost, id, body)
		}
	}
	s.injectFaults(r, end)
}
