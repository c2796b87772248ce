package main_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/standin/bootfile"
	"ambertiller.example/ambertiller/standin/wirestore"
	"ambertiller.example/ambertiller/standin/wireworker"
)

const (
	platformJobID          = "0123456789abcdef"
	platformTaskID         = platformJobID + ".0.0.0"
	workerIncarnation      = "i-1"
	maxLease               = 6 * time.Second
	publishedConfiguration = `{"version":7,"routes":[{"name":"r-1","host":"q.example","path_prefix":"/q/","service":"verbale","attempts":2,"extension":1.5}]}`
	submissionBody         = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":900}]}`
)

// platformDeployment is a fake of the platform, on which gateways and agents run as separate processes.
type platformDeployment struct {
	t             *testing.T
	binary        string
	store         *wirestore.Store
	worker        *wireworker.Worker
	storeAddress  string
	workerAddress string
}

// newPlatformDeployment builds the binary and starts a store, which has a configuration, and a
// worker. It starts no gateways or agents.
func newPlatformDeployment(t *testing.T) *platformDeployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	d := &platformDeployment{t: t, binary: binary, store: wirestore.New(8, time.Now), worker: wireworker.New(workerIncarnation, clockwork.NewRealClock())}
	d.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(publishedConfiguration))
	d.storeAddress = d.startServer(d.store)
	d.workerAddress = d.startServer(d.worker)
	return d
}

// startServer serves handler until the end of the test and returns the address.
func (d *platformDeployment) startServer(handler http.Handler) string {
	server := httptest.NewServer(handler)
	d.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// startRole runs a role that listens on a loopback address until the end of the test, and shows its
// log if the test failed.
func (d *platformDeployment) startRole(role, ip string) *exec.Cmd {
	d.t.Helper()
	path := filepath.Join(d.t.TempDir(), "local.toml")
	file := bootfile.File{NodeName: role + "-" + ip, IP: ip, WorkerAddress: d.workerAddress, StoreAddress: d.storeAddress, MaxLease: maxLease}
	if err := file.Write(path); err != nil {
		d.t.Fatal(err)
	}
	process := exec.Command(d.binary, role)
	process.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	var log bytes.Buffer
	process.Stdout, process.Stderr = &log, &log
	if err := process.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
		if d.t.Failed() {
			d.t.Logf("%s: %s", role, log.String())
		}
	})
	return process
}

// waitFor evaluates condition repeatedly until it is true. goal describes what the test waits for.
func (d *platformDeployment) waitFor(goal string, condition func() bool) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for !condition() {
		if ctx.Err() != nil {
			d.t.Fatalf("timed out waiting for %s", goal)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sendRequest returns the status and body of the response, or status 0 and the error if there is none.
func (d *platformDeployment) sendRequest(method, url, body string) (status int, text string) {
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = "q.example"
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	var responseBody bytes.Buffer
	if _, err := responseBody.ReadFrom(response.Body); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, responseBody.String()
}

// sendHeartbeat sends a heartbeat of the worker to the agent at ip and reports whether it was accepted.
func (d *platformDeployment) sendHeartbeat(ip string) bool {
	body := fmt.Sprintf(`{"service":"verbale","address":"%s","zone":"milano-a","state":"ready","capacity":{"cpu":4000,"mem_mb":8000},"labels":["a","r1"],"seq":1}`, d.workerAddress)
	status, _ := d.sendRequest(http.MethodPut, "http://"+bootfile.HeartbeatAddress(ip)+"/v1/instances/"+workerIncarnation, body)
	return status == http.StatusOK
}

// TestGatewayTakeover kills a gateway that owns a running job. A second gateway must take over the
// shard and report the job as completed once its task has ended, without starting the task again.
// The second gateway and the agent must exit without an error on SIGTERM.
func TestGatewayTakeover(t *testing.T) {
	d := newPlatformDeployment(t)
	network := fmt.Sprintf("127.%d", 200+os.Getpid()%50)
	firstIP, secondIP, agentIP := network+".0.1", network+".0.2", network+".0.3"
	firstGateway := d.startRole("gateway", firstIP)
	agent := d.startRole("agent", agentIP)
	d.waitFor("the agent to accept a heartbeat", func() bool { return d.sendHeartbeat(agentIP) })
	url := "http://" + bootfile.ClientAddress(firstIP) + "/q/" + platformJobID
	d.waitFor("the gateway to accept the job", func() bool {
		status, _ := d.sendRequest(http.MethodPost, url, submissionBody)
		return status == http.StatusOK
	})
	d.waitFor("the task to start", func() bool { _, runs := d.worker.Running(platformTaskID); return runs })
	secondGateway := d.startRole("gateway", secondIP)
	if err := firstGateway.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	d.worker.End(platformTaskID, "done")
	url = "http://" + bootfile.ClientAddress(secondIP) + "/q/" + platformJobID
	d.waitFor("the job to be completed", func() bool {
		_, text := d.sendRequest(http.MethodGet, url, "")
		return strings.Contains(text, "completed")
	})
	if got := len(d.worker.Starts()); got != 1 {
		t.Errorf("the task was started %d times, want once", got)
	}
	for _, process := range []*exec.Cmd{secondGateway, agent} {
		if err := process.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := process.Wait(); err != nil {
			t.Errorf("%s exited with %v", process.Args[1], err)
		}
	}
}
