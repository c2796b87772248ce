package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/standin"
)

// testTimeout limits every wait and request of the tests. It is long because a passing test never
// reaches it.
const testTimeout = time.Minute

// deployment runs the stand-in for the platform, entries and guards as separate processes.
type deployment struct {
	t       *testing.T
	binary  string
	network string
	layout  standin.Layout
	// processes are all entries, followed by all guards.
	processes []*exec.Cmd
}

// newDeployment builds the binary and starts a deployment. Its loopback network depends on the
// process ID, so that test runs at the same time rarely use the same one.
func newDeployment(t *testing.T, workers, entries int) *deployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	network := fmt.Sprintf("127.%d", 100+os.Getpid()%100)
	d := &deployment{t: t, binary: binary, network: network, layout: standin.Layout{Network: network}}
	d.startProcess("standin", "--network", network, "--workers", fmt.Sprint(workers), "--entries", fmt.Sprint(entries))
	for index := 1; index <= entries; index++ {
		d.processes = append(d.processes, d.startEntry(index))
	}
	for index := 1; index <= workers; index++ {
		d.processes = append(d.processes, d.startGuard(index))
	}
	return d
}

// startProcess runs the binary until the end of the test and shows its log if the test failed.
func (d *deployment) startProcess(args ...string) *exec.Cmd {
	d.t.Helper()
	process := exec.Command(d.binary, args...)
	var log bytes.Buffer
	process.Stderr = &log
	if err := process.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
		if d.t.Failed() {
			d.t.Logf("%s: %s", strings.Join(args, " "), log.String())
		}
	})
	return process
}

func (d *deployment) startEntry(index int) *exec.Cmd {
	return d.startProcess("entry", "--name", standin.EntryName(index),
		"--failure-domain", standin.Options{}.FailureDomain(index),
		"--http", d.layout.Entry(index, standin.EntryHTTPPort),
		"--rpc", d.layout.Entry(index, standin.EntryRPCPort),
		"--platform", "http://"+d.layout.Platform(), "--leave-delay", "500ms")
}

func (d *deployment) startGuard(index int) *exec.Cmd {
	return d.startProcess("guard", "--name", standin.WorkerName(index),
		"--failure-domain", standin.Options{}.FailureDomain(index), "--service", "verbale",
		"--rpc", d.layout.Worker(index, standin.GuardPort),
		"--admin", d.layout.Worker(index, standin.GuardAdminPort),
		"--platform", "http://"+d.layout.Platform(),
		"--worker", "http://"+d.layout.Worker(index, standin.WorkerPort),
		"--backend", "http://"+d.layout.Worker(index, standin.BackendPort), "--leave-delay", "500ms")
}

// runCommand runs an operator's command with the given entry and returns its output.
func (d *deployment) runCommand(entry int, args ...string) (string, error) {
	url := "http://" + d.layout.Entry(entry, standin.EntryHTTPPort)
	cmd := exec.Command(d.binary, append([]string{"--entry", url, "--output", "json", "--timeout", testTimeout.String()}, args...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return stdout.String(), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, stderr.String())
	}
	return stdout.String(), nil
}

// waitFor repeats step until it returns no error. goal describes what the test waits for.
func (d *deployment) waitFor(goal string, step func() error) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		err := step()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			d.t.Fatalf("%s: %v", goal, err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// publishConfig publishes the configuration and waits until all instances use it.
func (d *deployment) publishConfig(instances int) {
	d.t.Helper()
	example, err := os.ReadFile("../../examples/verbalia/config.yaml")
	if err != nil {
		d.t.Fatal(err)
	}
	// The timeout of the example is too short for requests that a test holds in flight.
	path := filepath.Join(d.t.TempDir(), "config.yaml")
	if err := os.WriteFile(path, bytes.ReplaceAll(example, []byte("timeout: 2s"), []byte("timeout: "+testTimeout.String())), 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.waitFor("publish the configuration", func() error {
		_, err := d.runCommand(1, "config", "publish", "--based-on", "0", path)
		return err
	})
	d.waitFor("all instances use the configuration", func() error {
		out, err := d.runCommand(1, "config", "show", "--in-force")
		if err != nil {
			return err
		}
		var statuses []api.DocumentInForce
		if err := json.Unmarshal([]byte(out), &statuses); err != nil {
			return err
		}
		if len(statuses) != instances {
			return fmt.Errorf("in force on %d of %d instances", len(statuses), instances)
		}
		return nil
	})
}

// sendRequest sends a request to the service through an entry and returns the response with its body.
func (d *deployment) sendRequest(entry int, body string, header http.Header) (*http.Response, string, error) {
	url := "http://" + d.layout.Entry(entry, standin.EntryHTTPPort) + "/v1/services/verbale/snippets"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return response, string(responseBody), err
}

// TestRequestsBatchJobAndPolicy checks on a deployment of separate processes that a request gets its
// complete response, that a submitted batch job is placed and finishes, and that a published policy
// decides on the placement of later jobs.
func TestRequestsBatchJobAndPolicy(t *testing.T) {
	d := newDeployment(t, 3, 2)
	d.publishConfig(5)

	d.waitFor("a request is answered", func() error {
		response, responseBody, err := d.sendRequest(2, "la seduta", http.Header{api.HeaderRequestID: {"r-1"}})
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK || responseBody != "corrected: la seduta\n" || response.Header.Get(api.HeaderRequestID) != "r-1" {
			return fmt.Errorf("status %d, answer %q, request %q", response.StatusCode, responseBody, response.Header.Get(api.HeaderRequestID))
		}
		return nil
	})

	finished := d.submitAndWait("council-12")
	if finished.Phase != "finished" || finished.Policy != "built-in@0" {
		t.Fatalf("unexpected state of the job after its end: %+v", finished)
	}
	out, err := d.runCommand(2, "result", finished.ID)
	if err != nil || !strings.Contains(out, `transcription of \"council-12\"`) {
		t.Fatalf("result %q, %v", out, err)
	}

	policyFile := filepath.Join(t.TempDir(), "placement.expr")
	if err := os.WriteFile(policyFile, []byte(`worker.name == "worker-03" ? 1 : 0`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := d.runCommand(2, "policy", "publish", policyFile); err != nil {
		t.Fatal(err)
	}
	d.waitFor("the policy decides on placement", func() error {
		if placed := d.submitAndWait(""); placed.Policy != "placement@1" || placed.Worker != "worker-03" {
			return fmt.Errorf("placed by %s on %s", placed.Policy, placed.Worker)
		}
		return nil
	})
}

// submitAndWait submits a batch job of 200 ms and returns it once it has ended.
func (d *deployment) submitAndWait(input string) api.Task {
	d.t.Helper()
	out, err := d.runCommand(1, "submit", "--team", "councils", "--kind", "transcription", "--run-time", "200ms", "--input", input, "--wait")
	if err != nil {
		d.t.Fatal(err)
	}
	var task api.Task
	if err := json.Unmarshal([]byte(out), &task); err != nil {
		d.t.Fatal(err)
	}
	return task
}

// callStandin sends a request to the control API of the stand-in and returns the response body.
func (d *deployment) callStandin(method, path string) string {
	d.t.Helper()
	request, err := http.NewRequest(method, "http://"+d.layout.Platform()+path, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		d.t.Fatal(err)
	}
	return strings.TrimSpace(string(body))
}

// TestIncompleteRequests keeps 150 connections open on which an incomplete or malformed request was
// sent. The entry must still serve requests on other connections.
func TestIncompleteRequests(t *testing.T) {
	d := newDeployment(t, 1, 1)
	d.publishConfig(2)
	address := d.layout.Entry(1, standin.EntryHTTPPort)
	incomplete := []string{"POST /v1/serv", "POST /v1/services/verbale/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf", "\x00\x01\x02"}
	for range 50 {
		for _, request := range incomplete {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := conn.Write([]byte(request)); err != nil {
				t.Fatal(err)
			}
		}
	}
	d.waitFor("a complete request is answered", func() error {
		response, responseBody, err := d.sendRequest(1, "whole", http.Header{})
		if err == nil && (response.StatusCode != http.StatusOK || responseBody != "corrected: whole\n") {
			err = fmt.Errorf("status %d, answer %q", response.StatusCode, responseBody)
		}
		return err
	})
}

// TestSecondSignal sends SIGTERM twice to an entry with a request in flight. The first signal starts a
// planned stop, which waits for the request. The second one aborts the stop, and the entry exits with
// code 1.
func TestSecondSignal(t *testing.T) {
	d := newDeployment(t, 1, 1)
	d.publishConfig(2)
	d.waitFor("a request is answered", func() error {
		response, _, err := d.sendRequest(1, "x", http.Header{})
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		return err
	})
	go func() {
		_, _, _ = d.sendRequest(1, "held", http.Header{standin.HeaderHold: {"second"}, api.HeaderTimeout: {testTimeout.String()}})
	}()
	d.waitFor("the request is in flight", func() error {
		if held := d.callStandin(http.MethodGet, "/control/holds/second"); held != "1" {
			return fmt.Errorf("%s requests are held", held)
		}
		return nil
	})
	entry := d.processes[0]
	if err := entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.waitFor("the entry is no longer ready", func() error {
		response, err := http.Get("http://" + d.layout.Entry(1, standin.EntryHTTPPort) + "/readyz")
		if err != nil {
			return nil
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode == http.StatusOK {
			return fmt.Errorf("the entry is still ready")
		}
		return nil
	})
	if err := entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := entry.Wait(); err == nil || entry.ProcessState.ExitCode() != 1 {
		t.Errorf("the entry exited with %v, want exit code 1", err)
	}
	d.callStandin(http.MethodDelete, "/control/holds/second")
}

// TestPlannedStop sends SIGTERM to a guard and an entry while requests are in
// flight. Every request must get its complete response, and both processes must
// exit without an error.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t, 2, 2)
	d.publishConfig(4)
	d.waitFor("a request is answered", func() error {
		response, _, err := d.sendRequest(1, "x", http.Header{})
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		return err
	})
	entry, guard := d.processes[0], d.processes[2]
	const inFlight = 8
	results := make(chan error, inFlight)
	for range inFlight {
		go func() {
			response, responseBody, err := d.sendRequest(1, "slow", http.Header{standin.HeaderHold: {"stop"}, api.HeaderTimeout: {testTimeout.String()}})
			if err == nil && (response.StatusCode != http.StatusOK || responseBody != "corrected: slow\n") {
				err = fmt.Errorf("status %d, answer %q", response.StatusCode, responseBody)
			}
			results <- err
		}()
	}
	d.waitFor("the requests are in flight", func() error {
		if held := d.callStandin(http.MethodGet, "/control/holds/stop"); held != "8" {
			return fmt.Errorf("%s requests are held", held)
		}
		return nil
	})
	for _, process := range []*exec.Cmd{guard, entry} {
		if err := process.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	d.waitFor("guard and entry are no longer ready", func() error {
		for _, address := range []string{d.layout.Entry(1, standin.EntryHTTPPort), d.layout.Worker(1, standin.GuardAdminPort)} {
			response, err := http.Get("http://" + address + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					return fmt.Errorf("%s is still ready", address)
				}
			}
		}
		return nil
	})
	d.callStandin(http.MethodDelete, "/control/holds/stop")
	for range inFlight {
		if err := <-results; err != nil {
			t.Errorf("a request in flight failed: %v", err)
		}
	}
	for _, process := range []*exec.Cmd{guard, entry} {
		if err := process.Wait(); err != nil {
			t.Errorf("the planned stop failed: %v", err)
		}
	}
}
