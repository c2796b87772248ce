package session_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/changelog"
)

// maxAppendsPerTask bounds the log appends of one task if no append is shared with another task: one each for
// submitted, assigned, running and finished.
const maxAppendsPerTask = 4

// TestAppendsPerTask runs batch jobs from submission to result, for several numbers of jobs, and checks the
// number of log appends.
func TestAppendsPerTask(t *testing.T) {
	for _, jobs := range []int{1, 8, 32} {
		t.Run(fmt.Sprint(jobs, " jobs"), func(t *testing.T) {
			h := newSession(t)
			appends, bytes := h.log.Appends(), h.log.StreamBytes(changelog.RecordStream)
			for number := range jobs {
				body := `{"team":"councils","kind":"transcription","processors":1,"memory":"1GiB","run_time":"1s","input":"seduta"}`
				if response := h.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, fmt.Sprint(number)); response.Code != http.StatusCreated {
					t.Fatalf("status %d: %s", response.Code, response.Body)
				}
			}
			h.waitBackground()
			h.placePending("entry-1", "entry-2")
			h.report("worker-01", "worker-02")
			h.advance(2 * time.Second)
			h.report("worker-01", "worker-02")
			appends, bytes = h.log.Appends()-appends, h.log.StreamBytes(changelog.RecordStream)-bytes
			if appends > int64(maxAppendsPerTask*jobs) {
				t.Errorf("got %d appends for %d jobs", appends, jobs)
			}
			t.Logf("%d jobs: %.2f appends and %d bytes per job", jobs, float64(appends)/float64(jobs), bytes/jobs)
		})
	}
}
