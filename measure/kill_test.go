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

// outcomeCounts counts how the requests of a run ended.
type outcomeCounts struct {
	mu               sync.Mutex
	sent             int
	succeeded        int
	notRun           int
	unknown          int
	connectionErrors int
	wrongResponses   int
	latencies        []time.Duration
	outcomesByKey    map[string]api.Outcome // of requests that must not be repeated
}

func (counted *outcomeCounts) record(key, want string, status int, body []byte, err error, took time.Duration) {
	counted.mu.Lock()
	defer counted.mu.Unlock()
	counted.sent++
	outcome := api.OutcomeUnknown
	var problem api.Problem
	switch {
	case err != nil:
		counted.connectionErrors++
	case status == http.StatusOK && string(body) == want:
		counted.succeeded++
		counted.latencies = append(counted.latencies, took)
		outcome = ""
	case status == http.StatusOK:
		counted.wrongResponses++
	case json.Unmarshal(body, &problem) == nil && problem.Outcome == api.OutcomeNotRun:
		counted.notRun++
		outcome = api.OutcomeNotRun
	default:
		counted.unknown++
	}
	if key != "" {
		counted.outcomesByKey[key] = outcome
	}
}

// TestKills puts an open load of repeatable and non-repeatable requests on 3
// entries and 12 guards, and kills and replaces one process after the other
// with SIGKILL, and takes the log away for 20 s.
func TestKills(t *testing.T) {
	const workers, entries, perSecond, span = 12, 3, 200, 90 * time.Second
	made := newDeployment(t, workers, entries, 2*time.Millisecond, readConfig(t))
	time.Sleep(3 * time.Second)
	calm := made.runMixedLoad(entries, perSecond, 15*time.Second, "calm")
	t.Logf("calm: %s", calm.summary())
	done := make(chan *outcomeCounts, 1)
	go func() { done <- made.runMixedLoad(entries, perSecond, span, "kill") }()
	began := time.Now()
	for round := 0; time.Since(began) < span-25*time.Second; round++ {
		time.Sleep(2 * time.Second)
		made.replaceGuard(round%workers + 1)
		time.Sleep(2 * time.Second)
		made.replaceEntry(round%entries + 1)
		if round == 3 {
			made.setLogState("down")
			time.Sleep(20 * time.Second)
			made.setLogState("up")
		}
	}
	counted := <-done
	doubled, wrongNotRun := made.countViolations(counted)
	t.Logf("kills: %s", counted.summary())
	t.Logf("doubled runs %d, wrong not run %d, answers to another request %d", doubled, wrongNotRun, counted.wrongResponses)
	if doubled+wrongNotRun+counted.wrongResponses > 0 {
		t.Error("a promise was broken")
	}
}

func (counted *outcomeCounts) summary() string {
	taken := loadResult{latencies: counted.latencies}
	return fmt.Sprintf("%d sent, %d whole, %d not run, %d unknown, %d connections broken; p50 %s, p99 %s",
		counted.sent, counted.succeeded, counted.notRun, counted.unknown, counted.connectionErrors, taken.quantile(0.5), taken.quantile(0.99))
}

// runMixedLoad sends requests at a fixed pace, every tenth of them one that must not
// be repeated.
func (made *deployment) runMixedLoad(entries, perSecond int, span time.Duration, name string) *outcomeCounts {
	counted := &outcomeCounts{outcomesByKey: map[string]api.Outcome{}}
	var calls sync.WaitGroup
	began := time.Now()
	for number := 0; time.Since(began) < span; number++ {
		time.Sleep(time.Until(began.Add(time.Duration(number) * time.Second / time.Duration(perSecond))))
		calls.Go(func() {
			text := fmt.Sprintf("%s-%d", name, number)
			headers, key := map[string]string{}, ""
			if number%10 == 0 {
				key = text
				headers = map[string]string{api.HeaderRepeatable: "false", api.HeaderIdempotencyKey: key, standin.HeaderCount: key}
			}
			sent := time.Now()
			status, body, err := made.exchange(made.entryURL(number%entries+1, "/v1/services/verbale/snippets"), text, headers)
			counted.record(key, "corrected: "+text+"\n", status, body, err, time.Since(sent))
		})
	}
	calls.Wait()
	return counted
}

func (made *deployment) exchange(url, body string, headers map[string]string) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := made.httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// countViolations compares what callers were told with how often each key ran.
func (made *deployment) countViolations(counted *outcomeCounts) (doubled, wrongNotRun int) {
	for key, outcome := range counted.outcomesByKey {
		runs := made.runCount(key)
		if runs > 1 {
			doubled++
		}
		if outcome == api.OutcomeNotRun && runs > 0 {
			wrongNotRun++
		}
	}
	return doubled, wrongNotRun
}

func (made *deployment) runCount(key string) (runs int) {
	response, err := made.httpClient.Get("http://" + made.layout.Platform() + "/control/counts/" + key)
	if err != nil {
		made.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		made.t.Fatal(err)
	}
	return runs
}

func (made *deployment) setLogState(state string) {
	request, err := http.NewRequest(http.MethodPut, "http://"+made.layout.Platform()+"/control/log/"+state, nil)
	if err != nil {
		made.t.Fatal(err)
	}
	response, err := made.httpClient.Do(request)
	if err != nil {
		made.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func (made *deployment) replaceGuard(index int) {
	_ = made.guards[index-1].Process.Kill()
	_ = made.guards[index-1].Wait()
	made.guards[index-1] = made.startGuard(index)
}

func (made *deployment) replaceEntry(index int) {
	_ = made.entries[index-1].Process.Kill()
	_ = made.entries[index-1].Wait()
	made.entries[index-1] = made.startEntry(index)
}
