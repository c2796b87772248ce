//go:build measure

package measure_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/standin"
)

// outcomeCounts counts the requests of a load run by their outcome.
type outcomeCounts struct {
	mu               sync.Mutex
	sent             int
	succeeded        int
	notRun           int // refused, and guaranteed not to have run
	unknown          int // any other response
	connectionErrors int // no response
	wrongResponses   int // status 200, but not the expected body
	latencies        []time.Duration
	outcomesByKey    map[string]api.Outcome // outcomes of requests that must not be repeated; empty if they succeeded
}

// record records the result of a request whose response should have been want. An empty key denotes a request
// that may be repeated.
func (c *outcomeCounts) record(key, want string, status int, body []byte, err error, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	outcome := api.OutcomeUnknown
	var problem api.Problem
	switch {
	case err != nil:
		c.connectionErrors++
	case status == http.StatusOK && string(body) == want:
		c.succeeded++
		c.latencies = append(c.latencies, elapsed)
		outcome = ""
	case status == http.StatusOK:
		c.wrongResponses++
	case json.Unmarshal(body, &problem) == nil && problem.Outcome == api.OutcomeNotRun:
		c.notRun++
		outcome = api.OutcomeNotRun
	default:
		c.unknown++
	}
	if key != "" {
		c.outcomesByKey[key] = outcome
	}
}

// TestKills sends repeatable and non-repeatable requests at a fixed rate to 3 entries and 12 guards.
// Meanwhile, it kills one process after another with SIGKILL and replaces it, and makes the log unavailable
// for 20 s. It checks that no non-repeatable request runs twice, or runs although its caller was told that it
// did not, and that no response belongs to another request.
func TestKills(t *testing.T) {
	const workerCount, entryCount, rate, duration = 12, 3, 200, 90 * time.Second
	d := newDeployment(t, workerCount, entryCount, 2*time.Millisecond, readConfig(t))
	time.Sleep(3 * time.Second)
	baseline := d.runMixedLoad(entryCount, rate, 15*time.Second, "calm")
	t.Logf("without kills: %s", baseline.summary())
	done := make(chan *outcomeCounts, 1)
	go func() { done <- d.runMixedLoad(entryCount, rate, duration, "kill") }()
	startedAt := time.Now()
	for round := 0; time.Since(startedAt) < duration-25*time.Second; round++ {
		time.Sleep(2 * time.Second)
		d.replaceGuard(round%workerCount + 1)
		time.Sleep(2 * time.Second)
		d.replaceEntry(round%entryCount + 1)
		if round == 3 {
			d.setLogState("down")
			time.Sleep(20 * time.Second)
			d.setLogState("up")
		}
	}
	counts := <-done
	repeatedRuns, wrongNotRun := d.countViolations(counts)
	t.Logf("with kills: %s", counts.summary())
	t.Logf("%d requests run more than once, %d run although reported as not run, %d answered with a wrong response", repeatedRuns, wrongNotRun, counts.wrongResponses)
	if repeatedRuns+wrongNotRun+counts.wrongResponses > 0 {
		t.Error("a guarantee for requests was violated")
	}
}

// summary returns the counts and the latencies of the requests that succeeded, as a line of text.
func (c *outcomeCounts) summary() string {
	result := loadResult{latencies: c.latencies}
	return fmt.Sprintf("%d sent, %d succeeded, %d not run, %d unknown, %d failed connections; p50 %s, p99 %s",
		c.sent, c.succeeded, c.notRun, c.unknown, c.connectionErrors, result.quantile(0.5), result.quantile(0.99))
}

// runMixedLoad sends requests at a fixed rate per second. One in ten must not be repeated.
func (d *deployment) runMixedLoad(entryCount, rate int, duration time.Duration, name string) *outcomeCounts {
	counts := &outcomeCounts{outcomesByKey: map[string]api.Outcome{}}
	var wg sync.WaitGroup
	startedAt := time.Now()
	for index := 0; time.Since(startedAt) < duration; index++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(index) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			requestBody := fmt.Sprintf("%s-%d", name, index)
			headers, key := map[string]string{}, ""
			if index%10 == 0 {
				key = requestBody
				headers = map[string]string{api.HeaderRepeatable: "false", api.HeaderIdempotencyKey: key, standin.HeaderCount: key}
			}
			sent := time.Now()
			status, body, err := d.exchange(d.entryURL(index%entryCount+1, "/v1/services/verbale/snippets"), requestBody, headers)
			counts.record(key, "corrected: "+requestBody+"\n", status, body, err, time.Since(sent))
		})
	}
	wg.Wait()
	return counts
}

// exchange sends a request and returns the status and the body of its response.
func (d *deployment) exchange(url, body string, headers map[string]string) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := d.httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, responseBody, err
}

// countViolations compares the outcomes that callers were told with how often each non-repeatable request
// ran. It returns how many ran more than once, and how many ran although they were reported as not run.
func (d *deployment) countViolations(counts *outcomeCounts) (repeatedRuns, wrongNotRun int) {
	for key, outcome := range counts.outcomesByKey {
		runs := d.runCount(key)
		if runs > 1 {
			repeatedRuns++
		}
		if outcome == api.OutcomeNotRun && runs > 0 {
			wrongNotRun++
		}
	}
	return repeatedRuns, wrongNotRun
}

// runCount returns how often the request with a key has run, as counted by the stand-in for the backend
// servers.
func (d *deployment) runCount(key string) (runs int) {
	response, err := d.httpClient.Get("http://" + d.layout.Platform() + "/control/counts/" + key)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		d.t.Fatal(err)
	}
	return runs
}

// setLogState makes the log service available ("up") or unavailable ("down").
func (d *deployment) setLogState(state string) {
	request, err := http.NewRequest(http.MethodPut, "http://"+d.layout.Platform()+"/control/log/"+state, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := d.httpClient.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// replaceGuard kills a guard and starts another one in its place.
func (d *deployment) replaceGuard(index int) {
	_ = d.guards[index-1].Process.Kill()
	_ = d.guards[index-1].Wait()
	d.guards[index-1] = d.startGuard(index)
}

// replaceEntry kills an entry and starts another one in its place.
func (d *deployment) replaceEntry(index int) {
	_ = d.entries[index-1].Process.Kill()
	_ = d.entries[index-1].Wait()
	d.entries[index-1] = d.startEntry(index)
}
