//go:build measure

// Package measure_test measures a deployment of separate processes on the loopback network:
// `go test -tags measure -v ./measure`. It is not part of CI; its figures go into docs/MEASUREMENTS.md.
package measure_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/standin"
)

// waitTimeout bounds how long waitFor waits for a condition.
const waitTimeout = 30 * time.Second

// deployment runs entries, guards and the stand-in for everything around them as separate processes.
type deployment struct {
	t           *testing.T
	binary      string
	layout      standin.Layout
	workerCount int
	entries     []*exec.Cmd
	guards      []*exec.Cmd
	httpClient  *http.Client
}

// newDeployment builds the program, starts all processes and waits until the config is in force in each of
// them.
func newDeployment(t *testing.T, workerCount, entryCount int, workTime time.Duration, config string) *deployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/ambertiller").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	network := fmt.Sprintf("127.%d", 200+os.Getpid()%50)
	d := &deployment{t: t, binary: binary, layout: standin.Layout{Network: network}, workerCount: workerCount}
	d.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	d.startProcess("standin", "--network", network, "--workers", strconv.Itoa(workerCount), "--entries", strconv.Itoa(entryCount), "--work-time", workTime.String())
	for index := 1; index <= entryCount; index++ {
		d.entries = append(d.entries, d.startEntry(index))
	}
	for index := 1; index <= workerCount; index++ {
		d.guards = append(d.guards, d.startGuard(index))
	}
	d.publishConfig(config, workerCount+entryCount)
	return d
}

func (d *deployment) startEntry(index int) *exec.Cmd {
	return d.startProcess("entry", "--name", standin.EntryName(index), "--failure-domain", "milano-a",
		"--http", d.layout.Entry(index, standin.EntryHTTPPort), "--rpc", d.layout.Entry(index, standin.EntryRPCPort),
		"--platform", "http://"+d.layout.Platform(), "--log-level", "warn")
}

func (d *deployment) startGuard(index int) *exec.Cmd {
	return d.startProcess("guard", "--name", standin.WorkerName(index), "--failure-domain", "milano-a", "--service", "verbale",
		"--rpc", d.layout.Worker(index, standin.GuardPort), "--admin", d.layout.Worker(index, standin.GuardAdminPort),
		"--platform", "http://"+d.layout.Platform(), "--worker", "http://"+d.layout.Worker(index, standin.WorkerPort),
		"--backend", "http://"+d.layout.Worker(index, standin.BackendPort), "--log-level", "warn")
}

// startProcess starts the program with arguments, and kills it when the test ends. Its log goes to stderr
// unless AMBERTILLER_MEASURE_QUIET is set.
func (d *deployment) startProcess(args ...string) *exec.Cmd {
	d.t.Helper()
	process := exec.Command(d.binary, args...)
	process.Stderr = os.Stderr
	if os.Getenv("AMBERTILLER_MEASURE_QUIET") != "" {
		process.Stderr = nil
	}
	if err := process.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process
}

func (d *deployment) entryURL(entry int, path string) string {
	return "http://" + d.layout.Entry(entry, standin.EntryHTTPPort) + path
}

// publishConfig publishes a config and waits until processCount processes have it in force.
func (d *deployment) publishConfig(config string, processCount int) {
	d.t.Helper()
	body, err := json.Marshal(api.PublishRequest{Content: config})
	if err != nil {
		d.t.Fatal(err)
	}
	d.waitFor("the config to be published", func() bool {
		request, err := http.NewRequest(http.MethodPut, d.entryURL(1, "/v1/documents/config"), bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := d.httpClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	d.waitFor("the config to be in force in all processes", func() bool {
		response, err := d.httpClient.Get(d.entryURL(1, "/v1/in-force"))
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var inForce []api.DocumentInForce
		return json.NewDecoder(response.Body).Decode(&inForce) == nil && len(inForce) == processCount
	})
}

// waitFor polls condition until it holds, and fails the test after waitTimeout.
func (d *deployment) waitFor(description string, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting for %s", description)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// post sends a request, reads the whole response and returns its status.
func (d *deployment) post(url, body string, headers map[string]string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := d.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// loadResult holds the latencies of the answered requests of a load run, its duration and the number of
// failures.
type loadResult struct {
	latencies []time.Duration
	elapsed   time.Duration
	failed    int64
}

// quantile returns the q-quantile of the latencies, or 0 if there are none.
func (result loadResult) quantile(q float64) time.Duration {
	if len(result.latencies) == 0 {
		return 0
	}
	slices.Sort(result.latencies)
	return result.latencies[int(q*float64(len(result.latencies)-1))]
}

// throughput returns the number of requests with a latency per second.
func (result loadResult) throughput() float64 {
	return float64(len(result.latencies)) / result.elapsed.Seconds()
}

// runClosedLoad sends requests from a number of concurrent callers, each of which waits for a response before
// it sends its next request.
func (d *deployment) runClosedLoad(url string, callers int, duration time.Duration) loadResult {
	var mu sync.Mutex
	var result loadResult
	var failed atomic.Int64
	startedAt := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			var latencies []time.Duration
			for time.Since(startedAt) < duration {
				sent := time.Now()
				if status, err := d.post(url, "la seduta", nil); err != nil || status != http.StatusOK {
					failed.Add(1)
					continue
				}
				latencies = append(latencies, time.Since(sent))
			}
			mu.Lock()
			defer mu.Unlock()
			result.latencies = append(result.latencies, latencies...)
		})
	}
	wg.Wait()
	result.elapsed, result.failed = time.Since(startedAt), failed.Load()
	return result
}

// peakResidentMiB returns the peak resident memory of a process, or 0 if it is not known.
func peakResidentMiB(process *exec.Cmd) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kib, _ := strconv.ParseFloat(fields[1], 64)
			return kib / 1024
		}
	}
	return 0
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// readConfig returns the example config after replacements, which are pairs of old and new strings.
func readConfig(t *testing.T, replacements ...string) string {
	t.Helper()
	content, err := os.ReadFile("../examples/verbalia/config.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer(replacements...).Replace(string(content))
}
