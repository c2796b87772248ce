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

// killCounts counts how the requests of a run ended.
type killCounts struct {
	mu        sync.Mutex
	sent      int
	whole     int
	notRun    int
	unknown   int
	cut       int
	wrong     int
	latencies []time.Duration
	keys      map[string]api.Outcome // of requests that must not be repeated
}

func (counted *killCounts) add(key, want string, status int, body []byte, err error, took time.Duration) {
	counted.mu.Lock()
	defer counted.mu.Unlock()
	counted.sent++
	outcome := api.OutcomeUnknown
	var problem api.Problem
	switch {
	case err != nil:
		counted.cut++
	case status == http.StatusOK && string(body) == want:
		counted.whole++
		counted.latencies = append(counted.latencies, took)
		outcome = ""
	case status == http.StatusOK:
		counted.wrong++
	case json.Unmarshal(body, &problem) == nil && problem.Outcome == api.OutcomeNotRun:
		counted.notRun++
		outcome = api.OutcomeNotRun
	default:
		counted.unknown++
	}
	if key != "" {
		counted.keys[key] = outcome
	}
}

// TestKills puts an open load of repeatable and non-repeatable requests on 3
// entries and 12 guards, and kills and replaces one process after the other
// with SIGKILL, and takes the log away for 20 s.
func TestKills(t *testing.T) {
	const workers, entries, perSecond, span = 12, 3, 200, 90 * time.Second
	made := newFleet(t, workers, entries, 2*time.Millisecond, readConfig(t))
	time.Sleep(3 * time.Second)
	calm := made.kills(entries, perSecond, 15*time.Second, "calm")
	t.Logf("calm: %s", calm.text())
	done := make(chan *killCounts, 1)
	go func() { done <- made.kills(entries, perSecond, span, "kill") }()
	began := time.Now()
	for round := 0; time.Since(began) < span-25*time.Second; round++ {
		time.Sleep(2 * time.Second)
		made.replaceGuard(round%workers + 1)
		time.Sleep(2 * time.Second)
		made.replaceEntry(round%entries + 1)
		if round == 3 {
			made.setLog("down")
			time.Sleep(20 * time.Second)
			made.setLog("up")
		}
	}
	counted := <-done
	doubled, wrongNotRun := made.audit(counted)
	t.Logf("kills: %s", counted.text())
	t.Logf("doubled runs %d, wrong not run %d, answers to another request %d", doubled, wrongNotRun, counted.wrong)
	if doubled+wrongNotRun+counted.wrong > 0 {
		t.Error("a promise was broken")
	}
}

func (counted *killCounts) text() string {
	taken := sample{latencies: counted.latencies}
	return fmt.Sprintf("%d sent, %d whole, %d not run, %d unknown, %d connections broken; p50 %s, p99 %s",
		counted.sent, counted.whole, counted.notRun, counted.unknown, counted.cut, taken.quantile(0.5), taken.quantile(0.99))
}

// kills sends requests at a fixed pace, every tenth of them one that must not
// be repeated.
func (made *fleet) kills(entries, perSecond int, span time.Duration, name string) *killCounts {
	counted := &killCounts{keys: map[string]api.Outcome{}}
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
			status, body, err := made.exchange(made.url(number%entries+1, "/v1/services/verbale/snippets"), text, headers)
			counted.add(key, "corrected: "+text+"\n", status, body, err, time.Since(sent))
		})
	}
	calls.Wait()
	return counted
}

func (made *fleet) exchange(url, body string, headers map[string]string) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := made.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// audit compares what callers were told with how often each key ran.
func (made *fleet) audit(counted *killCounts) (doubled, wrongNotRun int) {
	for key, outcome := range counted.keys {
		runs := made.runsOf(key)
		if runs > 1 {
			doubled++
		}
		if outcome == api.OutcomeNotRun && runs > 0 {
			wrongNotRun++
		}
	}
	return doubled, wrongNotRun
}

func (made *fleet) runsOf(key string) (runs int) {
	response, err := made.http.Get("http://" + made.layout.Platform() + "/control/counts/" + key)
	if err != nil {
		made.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		made.t.Fatal(err)
	}
	return runs
}

func (made *fleet) setLog(state string) {
	request, err := http.NewRequest(http.MethodPut, "http://"+made.layout.Platform()+"/control/log/"+state, nil)
	if err != nil {
		made.t.Fatal(err)
	}
	response, err := made.http.Do(request)
	if err != nil {
		made.t.Fatal(err)
	}
	_ = response.Body.Close()
}

func (made *fleet) replaceGuard(index int) {
	_ = made.guards[index-1].Process.Kill()
	_ = made.guards[index-1].Wait()
	made.guards[index-1] = made.startGuard(index)
}

func (made *fleet) replaceEntry(index int) {
	_ = made.entries[index-1].Process.Kill()
	_ = made.entries[index-1].Wait()
	made.entries[index-1] = made.startEntry(index)
}
