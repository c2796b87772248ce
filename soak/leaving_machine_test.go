package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"ambertiller.example/ambertiller/event"
)

const (
	// leavingSeed determines which workers report their start time.
	leavingSeed = 9002
	// outageDelay is how long after the announcement of a leave the store becomes unavailable: shortly before the runs of
	// the machine are stopped.
	outageDelay = 650 * time.Millisecond
	lastingJobs = 12
	// lastingJob is the request body of a job with one long-running task for each agent.
	lastingJob = `{"spec":"s","steps":[{"count":6,"cpu":400,"mem_mb":64,"long_running":true}]}`
)

// TestEndIsLostWithItsMachine guards against tasks that wait until every grant must have expired, although their runs are
// known to have been stopped before their machine left in an outage of the store.
func TestEndIsLostWithItsMachine(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := newDeployment(ctx, t, logsDir(t, leavingSeed), buildBinary(t), reserveNetwork(t), defaultAgentCount, leavingSeed)
	for _, host := range d.workerHosts {
		host.runsLast = true
	}
	sleep(ctx, startupDelay)
	c := newClient(d)
	for number := range lastingJobs {
		id := fmt.Sprintf("%016x", number)
		d.ledger.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{defaultAgentCount}})
		if status, text := c.call(ctx, http.MethodPost, number, id, lastingJob); status != http.StatusOK {
			t.Fatalf("submitting a job got status %d %s", status, text)
		}
	}
	d.waitUntil(ctx, t, func() bool { return len(d.ledger.runningTasks()) == lastingJobs*defaultAgentCount })
	index := d.busiestHost()
	stopped := d.ledger.tasksOn(d.workerHosts[index].incarnationName())
	d.takeMachineAway(ctx, index, outageDelay)
	d.waitUntil(ctx, t, func() bool {
		running := d.ledger.runningTasks()
		return !slices.ContainsFunc(stopped, func(task string) bool { return !running[task] })
	})
	known := 0
	for _, gateway := range d.gateways {
		for _, task := range loggedTasks(t, gateway.logPath, event.RunLost) {
			if slices.Contains(stopped, task) {
				t.Errorf("%s took the run of %s for lost, although its end was known", gateway.name, task)
			}
		}
		known += len(loggedTasks(t, gateway.logPath, event.SharedEndApplied))
	}
	if known == 0 {
		t.Errorf("none of %d runs was ended by the next owner of its shard, so the test shows nothing", len(stopped))
	}
}

// waitUntil waits until a condition holds, and fails the test if that takes longer than maxSettleTime.
func (d *deployment) waitUntil(ctx context.Context, t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxSettleTime); !condition(); sleep(ctx, 100*time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for a condition")
		}
	}
}

// busiestHost returns the index of the host with the most runs.
func (d *deployment) busiestHost() int {
	busiest, mostRuns := 0, 0
	for index, host := range d.workerHosts {
		if runs := len(d.ledger.tasksOn(host.incarnationName())); runs > mostRuns {
			busiest, mostRuns = index, runs
		}
	}
	return busiest
}

// runningTasks returns the tasks with a run.
func (l *ledger) runningTasks() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := map[string]bool{}
	for name, task := range l.tasks {
		if len(task.running) > 0 {
			running[name] = true
		}
	}
	return running
}

// tasksOn returns the tasks with a run on an incarnation.
func (l *ledger) tasksOn(incarnation string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var tasks []string
	for name, task := range l.tasks {
		if _, runs := task.running[incarnation]; runs {
			tasks = append(tasks, name)
		}
	}
	return tasks
}

// loggedTasks returns the tasks of an event in a log.
func loggedTasks(t *testing.T, logPath string, code event.Code) []string {
	t.Helper()
	file, err := os.Open(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close() //nolint:errcheck // The file is only read.
	var tasks []string
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line struct {
			Event event.Code
			Task  string
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err == nil && line.Event == code {
			tasks = append(tasks, line.Task)
		}
	}
	return tasks
}
