package session_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/standin"
)

// lossyLog fails appends at random: one in six before it takes effect and one in six after. The random source
// is seeded.
type lossyLog struct {
	*standin.Log
	mu     sync.Mutex
	random *rand.Rand
}

// Append implements logservice.Service.
func (l *lossyLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	fault := l.random.IntN(6)
	l.mu.Unlock()
	switch fault {
	case 0:
		return 0, errors.New("append request lost")
	case 1:
		_, _ = l.Log.Append(ctx, stream, data)
		return 0, errors.New("append response lost")
	}
	return l.Log.Append(ctx, stream, data)
}

// countingBackend counts how often it runs each idempotency key. For keys of even length it closes the
// connection without a response on every odd run.
type countingBackend struct {
	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP implements http.Handler.
func (b *countingBackend) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	key := request.Header.Get(api.HeaderIdempotencyKey)
	b.mu.Lock()
	b.runs[key]++
	abort := b.runs[key]%2 == 1 && len(key)%2 == 0
	b.mu.Unlock()
	if abort {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(writer, "billed %s", key)
}

func (b *countingBackend) runCount(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// runWhileAdvancing runs a function in a goroutine and advances the clock until the function returns.
func (h *harness) runWhileAdvancing(work func()) {
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
			h.advanceClock(time.Millisecond)
			h.log.ExpireReads()
			h.yield()
		}
	}
}

// outcomeCounts counts the outcomes of the requests that share an idempotency key.
type outcomeCounts struct {
	mu        sync.Mutex
	succeeded int
	notRun    int
	other     int
}

func (c *outcomeCounts) add(status int, body []byte, want string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var problem api.Problem
	switch {
	case status == http.StatusOK && string(body) == want:
		c.succeeded++
	case json.Unmarshal(body, &problem) == nil && problem.Outcome == api.OutcomeNotRun:
		c.notRun++
	default:
		c.other++
	}
}

// TestNonRepeatableRunsAtMostOnce sends non-repeatable requests with the same idempotency keys to both
// entries concurrently. The log loses appends and responses to appends, and the backend server closes some
// connections without a response. No key may run twice, and a key whose requests were all reported as not run
// must not have run.
func TestNonRepeatableRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := newHarness(t)
			backend := &countingBackend{runs: map[string]int{}}
			h.backendOverride = backend
			h.startAll()
			for _, instance := range h.entries {
				instance.log.set(&lossyLog{Log: h.log, random: rand.New(rand.NewPCG(seed, 7))})
			}
			const keys = 20
			counts := make([]outcomeCounts, keys)
			h.runWhileAdvancing(func() { h.sendDuplicates(counts) })
			for number := range keys {
				key, outcomes := idempotencyKey(number), &counts[number]
				runs := backend.runCount(key)
				if runs > 1 || outcomes.succeeded > runs {
					t.Errorf("%s ran %d times and got %d successful responses", key, runs, outcomes.succeeded)
				}
				if outcomes.succeeded+outcomes.other == 0 && runs > 0 {
					t.Errorf("%s ran although every request was reported as not run", key)
				}
			}
		})
	}
}

func idempotencyKey(number int) string { return fmt.Sprintf("key-%d", number) }

// sendDuplicates sends three concurrent requests for each key, two to entry-1 and one to entry-2, and counts
// their outcomes.
func (h *harness) sendDuplicates(counts []outcomeCounts) {
	var wg sync.WaitGroup
	for number := range counts {
		for _, name := range []string{"entry-1", "entry-2", "entry-1"} {
			wg.Go(func() {
				key := idempotencyKey(number)
				response := h.doRequest(name, http.MethodPost, "/v1/services/verbale/bill", "x", api.HeaderRepeatable, "false", api.HeaderIdempotencyKey, key)
				counts[number].add(response.Code, response.Body.Bytes(), "billed "+key)
			})
		}
	}
	wg.Wait()
}
