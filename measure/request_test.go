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

// rounds is how often the two paths are measured, in turns.
const rounds = 5

// TestRequestPath compares requests through an entry and a guard with requests that go directly to the
// backend server. The two are measured in turns within one run.
func TestRequestPath(t *testing.T) {
	for _, workTime := range []time.Duration{0, time.Millisecond} {
		t.Run(fmt.Sprint("work ", workTime), func(t *testing.T) {
			d := newDeployment(t, 1, 1, workTime, readConfig(t, "queue: 16", "queue: 512"))
			directURL := "http://" + d.layout.Worker(1, standin.BackendPort) + "/snippets"
			proxiedURL := d.entryURL(1, "/v1/services/verbale/snippets")
			for _, callers := range []int{1, 4, 8} {
				d.compareLatency(directURL, proxiedURL, callers)
			}
			t.Logf("peak resident memory: entry %.0f MiB, guard %.0f MiB", peakResidentMiB(d.entries[0]), peakResidentMiB(d.guards[0]))
		})
	}
}

// compareLatency logs the ratios of latency and throughput between both URLs: medians over all rounds, with
// the absolute values of the last round.
func (d *deployment) compareLatency(directURL, proxiedURL string, callers int) {
	var p50, p99, throughput []float64
	var last [2]loadResult
	d.runClosedLoad(directURL, callers, time.Second)
	d.runClosedLoad(proxiedURL, callers, time.Second)
	for range rounds {
		direct := d.runClosedLoad(directURL, callers, time.Second)
		proxied := d.runClosedLoad(proxiedURL, callers, time.Second)
		if direct.failed+proxied.failed > 0 {
			d.t.Errorf("%d direct and %d proxied requests failed", direct.failed, proxied.failed)
		}
		p50 = append(p50, float64(proxied.quantile(0.5))/float64(direct.quantile(0.5)))
		p99 = append(p99, float64(proxied.quantile(0.99))/float64(direct.quantile(0.99)))
		throughput = append(throughput, proxied.throughput()/direct.throughput())
		last = [2]loadResult{direct, proxied}
	}
	d.t.Logf("%d callers: p50 x%.2f (%s, %s), p99 x%.2f (%s, %s), throughput x%.2f (%.0f/s, %.0f/s)", callers,
		median(p50), last[0].quantile(0.5), last[1].quantile(0.5),
		median(p99), last[0].quantile(0.99), last[1].quantile(0.99),
		median(throughput), last[0].throughput(), last[1].throughput())
}

// runOpenLoad sends requests at a fixed rate per second, without waiting for the responses to earlier ones.
func (d *deployment) runOpenLoad(urls []string, rate float64, duration time.Duration) (succeeded, refused loadResult, other int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	startedAt := time.Now()
	for index := 0; ; index++ {
		due := startedAt.Add(time.Duration(float64(index) / rate * float64(time.Second)))
		if due.Sub(startedAt) >= duration {
			break
		}
		time.Sleep(time.Until(due))
		wg.Go(func() {
			sent := time.Now()
			status, err := d.post(urls[index%len(urls)], "la seduta", nil)
			elapsed := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusOK:
				succeeded.latencies = append(succeeded.latencies, elapsed)
			case err == nil && status == http.StatusServiceUnavailable:
				refused.latencies = append(refused.latencies, elapsed)
			default:
				other++
			}
		})
	}
	wg.Wait()
	succeeded.elapsed, refused.elapsed = duration, duration
	return succeeded, refused, other
}

// TestOverload raises the rate of requests from half to twice what the workers' slots can serve, and measures
// goodput and latency.
func TestOverload(t *testing.T) {
	const workTime, workerCount, slotCount = 20 * time.Millisecond, 4, 8
	d := newDeployment(t, workerCount, 2, workTime, readConfig(t))
	urls := []string{d.entryURL(1, "/v1/services/verbale/snippets"), d.entryURL(2, "/v1/services/verbale/snippets")}
	capacity := workerCount * slotCount / workTime.Seconds()
	d.runOpenLoad(urls, capacity/2, time.Second)
	peak := 0.0
	for _, load := range []float64{0.5, 0.8, 0.9, 1, 1.25, 1.5, 2} {
		succeeded, refused, other := d.runOpenLoad(urls, capacity*load, 4*time.Second)
		peak = max(peak, succeeded.throughput())
		t.Logf("load %.2f of capacity (%.0f/s): goodput %.0f/s (%.0f%% of the peak), p50 %s, p99 %s; not run %.0f/s, p50 %s, p99 %s; %d other results",
			load, capacity*load, succeeded.throughput(), 100*succeeded.throughput()/peak, succeeded.quantile(0.5), succeeded.quantile(0.99),
			refused.throughput(), refused.quantile(0.5), refused.quantile(0.99), other)
	}
	for index, entry := range d.entries {
		t.Logf("peak resident memory: entry %.0f MiB, guard %.0f MiB", peakResidentMiB(entry), peakResidentMiB(d.guards[index]))
	}
}
