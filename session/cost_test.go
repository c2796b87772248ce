package session_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/changelog"
)

// maxAppendsPerTask bounds what a task's life costs in the log when nothing
// else shares its appends: submitted, assigned, running, finished.
const maxAppendsPerTask = 4

// TestAppendsPerTask runs batch jobs from submission to result, at sizes, and
// counts what they cost in the log.
func TestAppendsPerTask(t *testing.T) {
	for _, jobs := range []int{1, 8, 32} {
		t.Run(fmt.Sprint(jobs, " jobs"), func(t *testing.T) {
			made := newSession(t)
			appends, bytes := made.log.Appends(), made.log.StreamBytes(changelog.RecordStream)
			for number := range jobs {
				body := `{"team":"councils","kind":"transcription","processors":1,"memory":"1GiB","run_time":"1s","input":"seduta"}`
				if answer := made.doRequest("entry-1", http.MethodPost, "/v1/tasks", body, api.HeaderIdempotencyKey, fmt.Sprint(number)); answer.Code != http.StatusCreated {
					t.Fatalf("status %d: %s", answer.Code, answer.Body)
				}
			}
			made.waitBackground()
			made.placePending("entry-1", "entry-2")
			made.report("worker-01", "worker-02")
			made.advance(2 * time.Second)
			made.report("worker-01", "worker-02")
			appends, bytes = made.log.Appends()-appends, made.log.StreamBytes(changelog.RecordStream)-bytes
			if appends > int64(maxAppendsPerTask*jobs) {
				t.Errorf("%d appends for %d jobs", appends, jobs)
			}
			t.Logf("%d jobs: %.2f appends and %d bytes for each", jobs, float64(appends)/float64(jobs), bytes/jobs)
		})
	}
}
