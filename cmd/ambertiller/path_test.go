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

// testTimeout is how long anything may take; it only ends a test that would fail.
const testTimeout = time.Minute

// deployment is a deployment of separate processes.
type deployment struct {
	t       *testing.T
	binary  string
	network string
	layout  standin.Layout
	// processes are the entries and then the guards.
	processes []*exec.Cmd
}

func newDeployment(t *testing.T, workers, entries int) *deployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	network := fmt.Sprintf("127.%d", 100+os.Getpid()%100)
	made := &deployment{t: t, binary: binary, network: network, layout: standin.Layout{Network: network}}
	made.startProcess("standin", "--network", network, "--workers", fmt.Sprint(workers), "--entries", fmt.Sprint(entries))
	for index := 1; index <= entries; index++ {
		made.processes = append(made.processes, made.startEntry(index))
	}
	for index := 1; index <= workers; index++ {
		made.processes = append(made.processes, made.startGuard(index))
	}
	return made
}

func (made *deployment) startProcess(arguments ...string) *exec.Cmd {
	made.t.Helper()
	started := exec.Command(made.binary, arguments...)
	var log bytes.Buffer
	started.Stderr = &log
	if err := started.Start(); err != nil {
		made.t.Fatal(err)
	}
	made.t.Cleanup(func() {
		_ = started.Process.Kill()
		_ = started.Wait()
		if made.t.Failed() {
			made.t.Logf("%s: %s", strings.Join(arguments, " "), log.String())
		}
	})
	return started
}

func (made *deployment) startEntry(index int) *exec.Cmd {
	return made.startProcess("entry", "--name", standin.EntryName(index),
		"--failure-domain", standin.Options{}.FailureDomain(index),
		"--http", made.layout.Entry(index, standin.EntryHTTPPort),
		"--rpc", made.layout.Entry(index, standin.EntryRPCPort),
		"--platform", "http://"+made.layout.Platform(), "--leave-delay", "500ms")
}

func (made *deployment) startGuard(index int) *exec.Cmd {
	return made.startProcess("guard", "--name", standin.WorkerName(index),
		"--failure-domain", standin.Options{}.FailureDomain(index), "--service", "verbale",
		"--rpc", made.layout.Worker(index, standin.GuardPort),
		"--admin", made.layout.Worker(index, standin.GuardAdminPort),
		"--platform", "http://"+made.layout.Platform(),
		"--worker", "http://"+made.layout.Worker(index, standin.WorkerPort),
		"--backend", "http://"+made.layout.Worker(index, standin.BackendPort), "--leave-delay", "500ms")
}

// runCommand runs an operator's command against an entry.
func (made *deployment) runCommand(entry int, arguments ...string) (string, error) {
	url := "http://" + made.layout.Entry(entry, standin.EntryHTTPPort)
	command := exec.Command(made.binary, append([]string{"--entry", url, "--output", "json", "--timeout", testTimeout.String()}, arguments...)...)
	var out, errOut bytes.Buffer
	command.Stdout, command.Stderr = &out, &errOut
	if err := command.Run(); err != nil {
		return out.String(), fmt.Errorf("%s: %w: %s", strings.Join(arguments, " "), err, errOut.String())
	}
	return out.String(), nil
}

// waitFor repeats a step until it succeeds.
func (made *deployment) waitFor(what string, step func() error) {
	made.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		err := step()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			made.t.Fatalf("%s: %v", what, err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// publishConfig publishes and waits until it is in force on all instances.
func (made *deployment) publishConfig(instances int) {
	made.t.Helper()
	example, err := os.ReadFile("../../examples/verbalia/config.yaml")
	if err != nil {
		made.t.Fatal(err)
	}
	// Requests that a test holds need longer than a correction may take.
	patient := filepath.Join(made.t.TempDir(), "config.yaml")
	if err := os.WriteFile(patient, bytes.ReplaceAll(example, []byte("timeout: 2s"), []byte("timeout: "+testTimeout.String())), 0o600); err != nil {
		made.t.Fatal(err)
	}
	made.waitFor("publish the configuration", func() error {
		_, err := made.runCommand(1, "config", "publish", "--based-on", "0", patient)
		return err
	})
	made.waitFor("configuration in force everywhere", func() error {
		out, err := made.runCommand(1, "config", "show", "--in-force")
		if err != nil {
			return err
		}
		var listed []api.DocumentInForce
		if err := json.Unmarshal([]byte(out), &listed); err != nil {
			return err
		}
		if len(listed) != instances {
			return fmt.Errorf("in force on %d of %d instances", len(listed), instances)
		}
		return nil
	})
}

func (made *deployment) sendRequest(entry int, body string, header http.Header) (*http.Response, string, error) {
	url := "http://" + made.layout.Entry(entry, standin.EntryHTTPPort) + "/v1/services/verbale/snippets"
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
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

// TestRequestsBatchJobAndPolicy starts the deployment as separate processes: a request gets
// its whole answer, a batch job is submitted, placed, runs and finishes, and a
// published policy takes effect.
func TestRequestsBatchJobAndPolicy(t *testing.T) {
	made := newDeployment(t, 3, 2)
	made.publishConfig(5)

	made.waitFor("a request is answered", func() error {
		response, answer, err := made.sendRequest(2, "la seduta", http.Header{api.HeaderRequestID: {"r-1"}})
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK || answer != "corrected: la seduta\n" || response.Header.Get(api.HeaderRequestID) != "r-1" {
			return fmt.Errorf("status %d, answer %q, request %q", response.StatusCode, answer, response.Header.Get(api.HeaderRequestID))
		}
		return nil
	})

	finished := made.submitAndWait("council-12")
	if finished.Phase != "finished" || finished.Policy != "built-in@0" {
		t.Fatalf("the job ended as %+v", finished)
	}
	out, err := made.runCommand(2, "result", finished.ID)
	if err != nil || !strings.Contains(out, `transcription of \"council-12\"`) {
		t.Fatalf("result %q, %v", out, err)
	}

	program := filepath.Join(t.TempDir(), "placement.expr")
	if err := os.WriteFile(program, []byte(`worker.name == "worker-03" ? 1 : 0`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := made.runCommand(2, "policy", "publish", program); err != nil {
		t.Fatal(err)
	}
	made.waitFor("the policy is in force", func() error {
		if placed := made.submitAndWait(""); placed.Policy != "placement@1" || placed.Worker != "worker-03" {
			return fmt.Errorf("placed by %s on %s", placed.Policy, placed.Worker)
		}
		return nil
	})
}

func (made *deployment) submitAndWait(input string) api.Task {
	made.t.Helper()
	out, err := made.runCommand(1, "submit", "--team", "councils", "--kind", "transcription", "--run-time", "200ms", "--input", input, "--wait")
	if err != nil {
		made.t.Fatal(err)
	}
	var task api.Task
	if err := json.Unmarshal([]byte(out), &task); err != nil {
		made.t.Fatal(err)
	}
	return task
}

// callStandin calls a control of the stand-in and returns the body.
func (made *deployment) callStandin(method, path string) string {
	made.t.Helper()
	request, err := http.NewRequest(method, "http://"+made.layout.Platform()+path, nil)
	if err != nil {
		made.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		made.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		made.t.Fatal(err)
	}
	return strings.TrimSpace(string(body))
}

// TestIncompleteRequests keeps connections with half a request open; others are
// served all the same.
func TestIncompleteRequests(t *testing.T) {
	made := newDeployment(t, 1, 1)
	made.publishConfig(2)
	address := made.layout.Entry(1, standin.EntryHTTPPort)
	halves := []string{"POST /v1/serv", "POST /v1/services/verbale/x HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf", "\x00\x01\x02"}
	for range 50 {
		for _, half := range halves {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := conn.Write([]byte(half)); err != nil {
				t.Fatal(err)
			}
		}
	}
	made.waitFor("a whole request is answered", func() error {
		response, answer, err := made.sendRequest(1, "whole", http.Header{})
		if err == nil && (response.StatusCode != http.StatusOK || answer != "corrected: whole\n") {
			err = fmt.Errorf("status %d, answer %q", response.StatusCode, answer)
		}
		return err
	})
}

// TestSecondSignal holds a request in flight: the first SIGTERM waits for it,
// the second breaks off and says so.
func TestSecondSignal(t *testing.T) {
	made := newDeployment(t, 1, 1)
	made.publishConfig(2)
	made.waitFor("a request is answered", func() error {
		response, _, err := made.sendRequest(1, "x", http.Header{})
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		return err
	})
	go func() {
		_, _, _ = made.sendRequest(1, "held", http.Header{standin.HeaderHold: {"second"}, api.HeaderTimeout: {testTimeout.String()}})
	}()
	made.waitFor("the request is in flight", func() error {
		if held := made.callStandin(http.MethodGet, "/control/holds/second"); held != "1" {
			return fmt.Errorf("%s requests are held", held)
		}
		return nil
	})
	entry := made.processes[0]
	if err := entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	made.waitFor("the entry says that it leaves", func() error {
		response, err := http.Get("http://" + made.layout.Entry(1, standin.EntryHTTPPort) + "/readyz")
		if err != nil {
			return nil
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode == http.StatusOK {
			return fmt.Errorf("it is still ready")
		}
		return nil
	})
	if err := entry.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := entry.Wait(); err == nil || entry.ProcessState.ExitCode() != 1 {
		t.Errorf("the entry ended with %v", err)
	}
	made.callStandin(http.MethodDelete, "/control/holds/second")
}

// TestPlannedStop sends SIGTERM to a guard and an entry while requests are in
// flight; none of them is cut.
func TestPlannedStop(t *testing.T) {
	made := newDeployment(t, 2, 2)
	made.publishConfig(4)
	made.waitFor("a request is answered", func() error {
		response, _, err := made.sendRequest(1, "x", http.Header{})
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		return err
	})
	entry, guard := made.processes[0], made.processes[2]
	const inFlight = 8
	failures := make(chan error, inFlight)
	for range inFlight {
		go func() {
			response, answer, err := made.sendRequest(1, "slow", http.Header{standin.HeaderHold: {"stop"}, api.HeaderTimeout: {testTimeout.String()}})
			if err == nil && (response.StatusCode != http.StatusOK || answer != "corrected: slow\n") {
				err = fmt.Errorf("status %d, answer %q", response.StatusCode, answer)
			}
			failures <- err
		}()
	}
	made.waitFor("the requests are in flight", func() error {
		if held := made.callStandin(http.MethodGet, "/control/holds/stop"); held != "8" {
			return fmt.Errorf("%s requests are held", held)
		}
		return nil
	})
	for _, stopping := range []*exec.Cmd{guard, entry} {
		if err := stopping.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	made.waitFor("both say that they leave", func() error {
		for _, address := range []string{made.layout.Entry(1, standin.EntryHTTPPort), made.layout.Worker(1, standin.GuardAdminPort)} {
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
	made.callStandin(http.MethodDelete, "/control/holds/stop")
	for range inFlight {
		if err := <-failures; err != nil {
			t.Errorf("a request in flight was cut: %v", err)
		}
	}
	for _, stopping := range []*exec.Cmd{guard, entry} {
		if err := stopping.Wait(); err != nil {
			t.Errorf("the planned stop ended with %v", err)
		}
	}
}
