//go:build measure

package measure_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"ambertiller.example/ambertiller/standin"
)

const rounds = 5

// TestRequestPath compares a request through entry and guard with one straight
// to the backend server, in turns within one run.
func TestRequestPath(t *testing.T) {
	for _, workTime := range []time.Duration{0, time.Millisecond} {
		t.Run(fmt.Sprint("work ", workTime), func(t *testing.T) {
			made := newDeployment(t, 1, 1, workTime, readConfig(t, "queue: 16", "queue: 512"))
			straight := "http://" + made.layout.Worker(1, standin.BackendPort) + "/snippets"
			through := made.entryURL(1, "/v1/services/verbale/snippets")
			for _, callers := range []int{1, 4, 8} {
				made.compareLatency(straight, through, callers)
			}
			t.Logf("resident: entry %.0f MiB, guard %.0f MiB", peakResidentMiB(made.entries[0]), peakResidentMiB(made.guards[0]))
		})
	}
}

func (made *deployment) compareLatency(straight, through string, callers int) {
	var p50, p99, pace []float64
	var last [2]loadResult
	made.runClosedLoad(straight, callers, time.Second)
	made.runClosedLoad(through, callers, time.Second)
	for range rounds {
		a := made.runClosedLoad(straight, callers, time.Second)
		b := made.runClosedLoad(through, callers, time.Second)
		if a.failed+b.failed > 0 {
			made.t.Errorf("%d requests failed straight, %d through", a.failed, b.failed)
		}
		p50 = append(p50, float64(b.quantile(0.5))/float64(a.quantile(0.5)))
		p99 = append(p99, float64(b.quantile(0.99))/float64(a.quantile(0.99)))
		pace = append(pace, b.throughput()/a.throughput())
		last = [2]loadResult{a, b}
	}
	made.t.Logf("%d callers: p50 x%.2f (%s, %s), p99 x%.2f (%s, %s), pace x%.2f (%.0f/s, %.0f/s)", callers,
		median(p50), last[0].quantile(0.5), last[1].quantile(0.5),
		median(p99), last[0].quantile(0.99), last[1].quantile(0.99),
		median(pace), last[0].throughput(), last[1].throughput())
}

// runOpenLoad sends requests at a fixed pace, whatever becomes of the earlier ones.
func (made *deployment) runOpenLoad(urls []string, perSecond float64, span time.Duration) (whole, refused loadResult, other int) {
	var mu sync.Mutex
	var running sync.WaitGroup
	began := time.Now()
	for number := 0; ; number++ {
		due := began.Add(time.Duration(float64(number) / perSecond * float64(time.Second)))
		if due.Sub(began) >= span {
			break
		}
		time.Sleep(time.Until(due))
		running.Go(func() {
			sent := time.Now()
			status, err := made.post(urls[number%len(urls)], "la seduta", nil)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusOK:
				whole.latencies = append(whole.latencies, took)
			case err == nil && status == http.StatusServiceUnavailable:
				refused.latencies = append(refused.latencies, took)
			default:
				other++
			}
		})
	}
	running.Wait()
	whole.elapsed, refused.elapsed = span, span
	return whole, refused, other
}

// TestOverload raises an open load to twice what the slots can serve.
func TestOverload(t *testing.T) {
	const workTime, workers, slots = 20 * time.Millisecond, 4, 8
	made := newDeployment(t, workers, 2, workTime, readConfig(t))
	urls := []string{made.entryURL(1, "/v1/services/verbale/snippets"), made.entryURL(2, "/v1/services/verbale/snippets")}
	capacity := workers * slots / workTime.Seconds()
	made.runOpenLoad(urls, capacity/2, time.Second)
	peak := 0.0
	for _, part := range []float64{0.5, 0.8, 0.9, 1, 1.25, 1.5, 2} {
		whole, refused, other := made.runOpenLoad(urls, capacity*part, 4*time.Second)
		peak = max(peak, whole.throughput())
		t.Logf("%.2f of the slots (%.0f/s): goodput %.0f/s (%.0f%% of the peak), p50 %s, p99 %s; not run %.0f/s in p50 %s, p99 %s; other %d",
			part, capacity*part, whole.throughput(), 100*whole.throughput()/peak, whole.quantile(0.5), whole.quantile(0.99),
			refused.throughput(), refused.quantile(0.5), refused.quantile(0.99), other)
	}
	for index, entry := range made.entries {
		t.Logf("resident: entry %.0f MiB, guard %.0f MiB", peakResidentMiB(entry), peakResidentMiB(made.guards[index]))
	}
}
