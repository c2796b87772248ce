//go:build measure

// Package measure_test measures a deployment of separate processes on the
// loopback network: `go test -tags measure -v ./measure`. It is not part of
// CI; its figures go into docs/MEASUREMENTS.md.
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

const waitTimeout = 30 * time.Second

// deployment is a deployment of separate processes.
type deployment struct {
	t           *testing.T
	binary      string
	layout      standin.Layout
	workerCount int
	entries     []*exec.Cmd
	guards      []*exec.Cmd
	httpClient  *http.Client
}

func newDeployment(t *testing.T, workers, entries int, workTime time.Duration, config string) *deployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/ambertiller").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	network := fmt.Sprintf("127.%d", 200+os.Getpid()%50)
	made := &deployment{t: t, binary: binary, layout: standin.Layout{Network: network}, workerCount: workers}
	made.httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	made.startProcess("standin", "--network", network, "--workers", strconv.Itoa(workers), "--entries", strconv.Itoa(entries), "--work-time", workTime.String())
	for index := 1; index <= entries; index++ {
		made.entries = append(made.entries, made.startEntry(index))
	}
	for index := 1; index <= workers; index++ {
		made.guards = append(made.guards, made.startGuard(index))
	}
	made.publishConfig(config, workers+entries)
	return made
}

func (made *deployment) startEntry(index int) *exec.Cmd {
	return made.startProcess("entry", "--name", standin.EntryName(index), "--failure-domain", "milano-a",
		"--http", made.layout.Entry(index, standin.EntryHTTPPort), "--rpc", made.layout.Entry(index, standin.EntryRPCPort),
		"--platform", "http://"+made.layout.Platform(), "--log-level", "warn")
}

func (made *deployment) startGuard(index int) *exec.Cmd {
	return made.startProcess("guard", "--name", standin.WorkerName(index), "--failure-domain", "milano-a", "--service", "verbale",
		"--rpc", made.layout.Worker(index, standin.GuardPort), "--admin", made.layout.Worker(index, standin.GuardAdminPort),
		"--platform", "http://"+made.layout.Platform(), "--worker", "http://"+made.layout.Worker(index, standin.WorkerPort),
		"--backend", "http://"+made.layout.Worker(index, standin.BackendPort), "--log-level", "warn")
}

func (made *deployment) startProcess(arguments ...string) *exec.Cmd {
	made.t.Helper()
	started := exec.Command(made.binary, arguments...)
	started.Stderr = os.Stderr
	if os.Getenv("AMBERTILLER_MEASURE_QUIET") != "" {
		started.Stderr = nil
	}
	if err := started.Start(); err != nil {
		made.t.Fatal(err)
	}
	made.t.Cleanup(func() {
		_ = started.Process.Kill()
		_ = started.Wait()
	})
	return started
}

func (made *deployment) entryURL(entry int, path string) string {
	return "http://" + made.layout.Entry(entry, standin.EntryHTTPPort) + path
}

func (made *deployment) publishConfig(config string, instances int) {
	made.t.Helper()
	body, err := json.Marshal(api.PublishRequest{Content: config})
	if err != nil {
		made.t.Fatal(err)
	}
	made.waitFor("publish", func() bool {
		request, err := http.NewRequest(http.MethodPut, made.entryURL(1, "/v1/documents/config"), bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := made.httpClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	made.waitFor("in force", func() bool {
		response, err := made.httpClient.Get(made.entryURL(1, "/v1/in-force"))
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var listed []api.DocumentInForce
		return json.NewDecoder(response.Body).Decode(&listed) == nil && len(listed) == instances
	})
}

func (made *deployment) waitFor(what string, holds func() bool) {
	made.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			made.t.Fatalf("waited in vain: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// post sends one request and reads its answer; the result is its status.
func (made *deployment) post(url, body string, headers map[string]string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := made.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// loadResult is the latencies of a run, and its pace.
type loadResult struct {
	latencies []time.Duration
	elapsed   time.Duration
	failed    int64
}

func (taken loadResult) quantile(part float64) time.Duration {
	if len(taken.latencies) == 0 {
		return 0
	}
	slices.Sort(taken.latencies)
	return taken.latencies[int(part*float64(len(taken.latencies)-1))]
}

func (taken loadResult) throughput() float64 {
	return float64(len(taken.latencies)) / taken.elapsed.Seconds()
}

// runClosedLoad sends requests from a number of callers, each after its answer.
func (made *deployment) runClosedLoad(url string, callers int, span time.Duration) loadResult {
	var mu sync.Mutex
	var taken loadResult
	var failed atomic.Int64
	began := time.Now()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			var own []time.Duration
			for time.Since(began) < span {
				sent := time.Now()
				if status, err := made.post(url, "la seduta", nil); err != nil || status != http.StatusOK {
					failed.Add(1)
					continue
				}
				own = append(own, time.Since(sent))
			}
			mu.Lock()
			defer mu.Unlock()
			taken.latencies = append(taken.latencies, own...)
		})
	}
	running.Wait()
	taken.elapsed, taken.failed = time.Since(began), failed.Load()
	return taken
}

// peakResidentMiB returns the resident memory of a process.
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

func readConfig(t *testing.T, replace ...string) string {
	t.Helper()
	content, err := os.ReadFile("../examples/verbalia/config.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer(replace...).Replace(string(content))
}
