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

// lossyWay loses some appends before and some after they took effect, as drawn
// from a seed.
type lossyWay struct {
	*standin.Log
	mu    sync.Mutex
	draws *rand.Rand
}

// Append implements logservice.Service.
func (way *lossyWay) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	way.mu.Lock()
	fault := way.draws.IntN(6)
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

func (backend *countingBackend) count(key string) int {
	backend.mu.Lock()
	defer backend.mu.Unlock()
	return backend.runs[key]
}

// whileTimePasses runs work while the clock goes on by itself.
func (made *bench) whileTimePasses(work func()) {
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
			made.tick(time.Millisecond)
			made.log.ExpireReads()
			runtime.Gosched()
		}
	}
}

// ends counts how the requests with one key ended.
type ends struct {
	mu     sync.Mutex
	whole  int
	notRun int
	other  int
}

func (counted *ends) add(status int, body []byte, want string) {
	counted.mu.Lock()
	defer counted.mu.Unlock()
	var problem api.Problem
	switch {
	case status == http.StatusOK && string(body) == want:
		counted.whole++
	case json.Unmarshal(body, &problem) == nil && problem.Outcome == api.OutcomeNotRun:
		counted.notRun++
	default:
		counted.other++
	}
}

// TestNotRepeatableRunsAtMostOnce sends the same keys to both entries at the
// same time, over a log that loses appends and answers and with a backend
// server that breaks off. No key runs twice, and a key all of whose requests
// were called not run has not run.
func TestNotRepeatableRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			made := newBench(t)
			backend := &countingBackend{runs: map[string]int{}}
			made.backend = backend
			made.fill()
			for _, seated := range made.entries {
				seated.log.set(&lossyWay{Log: made.log, draws: rand.New(rand.NewPCG(seed, 7))})
			}
			const keys = 20
			counts := make([]ends, keys)
			made.whileTimePasses(func() { made.sendKeys(counts) })
			for number := range keys {
				key, counted := keyOf(number), &counts[number]
				runs := backend.count(key)
				if runs > 1 || counted.whole > runs {
					t.Errorf("%s ran %d times and was answered %d times", key, runs, counted.whole)
				}
				if counted.whole+counted.other == 0 && runs > 0 {
					t.Errorf("%s was called not run and ran", key)
				}
			}
		})
	}
}

func keyOf(number int) string { return fmt.Sprintf("key-%d", number) }

func (made *bench) sendKeys(counts []ends) {
	var callers sync.WaitGroup
	for number := range counts {
		for _, name := range []string{"entry-1", "entry-2", "entry-1"} {
			callers.Go(func() {
				key := keyOf(number)
				answer := made.doQuiet(name, http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, key)
				counts[number].add(answer.Code, answer.Body.Bytes(), "billed "+key)
			})
		}
	}
	callers.Wait()
}
