package session_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/standin"
)

// lossyLog loses some appends before and some after they took effect, as drawn
// from a seed.
type lossyLog struct {
	*standin.Log
	mu     sync.Mutex
	random *rand.Rand
}

// Append implements logservice.Service.
func (way *lossyLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	way.mu.Lock()
	fault := way.random.IntN(6)
	way.mu.Unlock()
	switch fault {
	case 0:
		return 0, errors.New("lost on the way there")
	case 1:
		_, _ = way.Log.Append(ctx, stream, data)
		return 0, errors.New("lost on the way back")
	}
	return way.Log.Append(ctx, stream, data)
}

// countingBackend counts the runs of each key.
type countingBackend struct {
	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP implements http.Handler.
func (backend *countingBackend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	key := request.Header.Get(api.HeaderIdempotencyKey)
	backend.mu.Lock()
	backend.runs[key]++
	broken := backend.runs[key]%2 == 1 && len(key)%2 == 0
	backend.mu.Unlock()
	if broken {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(writer, "billed %s", key)
}

func (backend *countingBackend) runCount(key string) int {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.runs[key]
}

// runWhileAdvancing runs work while the clock goes on by itself.
func (made *harness) runWhileAdvancing(work func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	for {
		select {
		case <-done:
			return
		default:
			made.advanceClock(time.Millisecond)
			made.log.ExpireReads()
			runtime.Gosched()
		}
	}
}

// outcomeCounts counts how the requests with one key ended.
type outcomeCounts struct {
	mu        sync.Mutex
	succeeded int
	notRun    int
	other     int
}

func (counted *outcomeCounts) add(status int, body []byte, want string) {
	counted.mu.Lock()
	defer counted.mu.Unlock()
	var problem api.Problem
	switch {
	case status == http.StatusOK && string(body) == want:
		counted.succeeded++
	case json.Unmarshal(body, &problem) == nil && problem.Outcome == api.OutcomeNotRun:
		counted.notRun++
	default:
		counted.other++
	}
}

// TestNonRepeatableRunsAtMostOnce sends the same keys to both entries at the
// same time, over a log that loses appends and answers and with a backend
// server that breaks off. No key runs twice, and a key all of whose requests
// were called not run has not run.
func TestNonRepeatableRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			made := newHarness(t)
			backend := &countingBackend{runs: map[string]int{}}
			made.backendOverride = backend
			made.startAll()
			for _, seated := range made.entries {
				seated.log.set(&lossyLog{Log: made.log, random: rand.New(rand.NewPCG(seed, 7))})
			}
			const keys = 20
			counts := make([]outcomeCounts, keys)
			made.runWhileAdvancing(func() { made.sendDuplicates(counts) })
			for number := range keys {
				key, counted := idempotencyKey(number), &counts[number]
				runs := backend.runCount(key)
				if runs > 1 || counted.succeeded > runs {
					t.Errorf("%s ran %d times and was answered %d times", key, runs, counted.succeeded)
				}
				if counted.succeeded+counted.other == 0 && runs > 0 {
					t.Errorf("%s was called not run and ran", key)
				}
			}
		})
	}
}

func idempotencyKey(number int) string { return fmt.Sprintf("key-%d", number) }

func (made *harness) sendDuplicates(counts []outcomeCounts) {
	var callers sync.WaitGroup
	for number := range counts {
		for _, name := range []string{"entry-1", "entry-2", "entry-1"} {
			callers.Go(func() {
				key := idempotencyKey(number)
				answer := made.doRequest(name, http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, key)
				counts[number].add(answer.Code, answer.Body.Bytes(), "billed "+key)
			})
		}
	}
	callers.Wait()
}
