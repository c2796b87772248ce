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

// platformDeployment is the platform's part of a deployment, and the processes that run on it.
type platformDeployment struct {
	t             *testing.T
	binary        string
	store         *wirestore.Store
	worker        *wireworker.Worker
	storeAddress  string // the store's address
	workerAddress string // the worker's
}

func newPlatformDeployment(t *testing.T) *platformDeployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ambertiller")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	made := &platformDeployment{t: t, binary: binary, store: wirestore.New(8, time.Now), worker: wireworker.New(workerIncarnation, clockwork.NewRealClock())}
	made.store.Put(platform.OperatorTopic, 0, platform.ConfigurationKey, []byte(publishedConfiguration))
	made.storeAddress = made.startServer(made.store)
	made.workerAddress = made.startServer(made.worker)
	return made
}

func (made *platformDeployment) startServer(handler http.Handler) string {
	server := httptest.NewServer(handler)
	made.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// startRole runs a role on an address of the loopback network, and returns the process
// and where it listens.
func (made *platformDeployment) startRole(role, ip string) *exec.Cmd {
	made.t.Helper()
	path := filepath.Join(made.t.TempDir(), "local.toml")
	file := bootfile.File{Name: role + "-" + ip, IP: ip, Worker: made.workerAddress, Store: made.storeAddress, LeaseMost: maxLease}
	if err := file.Write(path); err != nil {
		made.t.Fatal(err)
	}
	started := exec.Command(made.binary, role)
	started.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	var log bytes.Buffer
	started.Stdout, started.Stderr = &log, &log
	if err := started.Start(); err != nil {
		made.t.Fatal(err)
	}
	made.t.Cleanup(func() {
		_ = started.Process.Kill()
		_ = started.Wait()
		if made.t.Failed() {
			made.t.Logf("%s: %s", role, log.String())
		}
	})
	return started
}

// waitFor repeats a step until it holds.
func (made *platformDeployment) waitFor(what string, holds func() bool) {
	made.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for !holds() {
		if ctx.Err() != nil {
			made.t.Fatalf("%s did not come about", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (made *platformDeployment) sendRequest(method, url, body string) (status int, text string) {
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		made.t.Fatal(err)
	}
	request.Host = "q.example"
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close() //nolint:errcheck // it has been read.
	var read bytes.Buffer
	if _, err := read.ReadFrom(answer.Body); err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, read.String()
}

func (made *platformDeployment) sendHeartbeat(ip string) bool {
	body := fmt.Sprintf(`{"service":"verbale","address":"%s","zone":"milano-a","state":"ready","capacity":{"cpu":4000,"mem_mb":8000},"labels":["a","r1"],"seq":1}`, made.workerAddress)
	status, _ := made.sendRequest(http.MethodPut, "http://"+bootfile.Beats(ip)+"/v1/instances/"+workerIncarnation, body)
	return status == http.StatusOK
}

// TestGatewayTakeover hands a job in at a gateway that then is killed: another one
// takes its shard over and shows the job as completed once its task has ended, and
// both stop as told.
func TestGatewayTakeover(t *testing.T) {
	made := newPlatformDeployment(t)
	network := fmt.Sprintf("127.%d", 200+os.Getpid()%50)
	first, second, side := network+".0.1", network+".0.2", network+".0.3"
	killed := made.startRole("gateway", first)
	agent := made.startRole("agent", side)
	made.waitFor("the agent's answer to a heartbeat", func() bool { return made.sendHeartbeat(side) })
	url := "http://" + bootfile.Front(first) + "/q/" + platformJobID
	made.waitFor("the job's acceptance", func() bool {
		status, _ := made.sendRequest(http.MethodPost, url, submissionBody)
		return status == http.StatusOK
	})
	made.waitFor("the task's start", func() bool { _, runs := made.worker.Running(platformTaskID); return runs })
	stays := made.startRole("gateway", second)
	if err := killed.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	made.worker.End(platformTaskID, "done")
	url = "http://" + bootfile.Front(second) + "/q/" + platformJobID
	made.waitFor("the job's completion", func() bool {
		_, text := made.sendRequest(http.MethodGet, url, "")
		return strings.Contains(text, "completed")
	})
	if got := len(made.worker.Starts()); got != 1 {
		t.Errorf("%d starts", got)
	}
	for _, process := range []*exec.Cmd{stays, agent} {
		if err := process.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := process.Wait(); err != nil {
			t.Errorf("%s ended with %v", process.Args[1], err)
		}
	}
}
