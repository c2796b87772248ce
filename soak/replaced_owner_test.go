package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	// replacedSeed determines which workers report their start time.
	replacedSeed = 9001
	// replacedRounds is how often all agents are killed, replacedJobs how many jobs run then.
	replacedRounds = 3
	replacedJobs   = 16
	// startTime is the time within which most tasks of these jobs start. Few have ended by then.
	startTime = 150 * time.Millisecond
	// firstTime is how long agents that were killed are reached by the replaced owner only.
	firstTime = 2500 * time.Millisecond
)

// TestReplacedOwnerConfirmsEndAfterRestart guards against tasks that are done twice: a gateway that is cut off from the
// store reaches agents that have restarted before the next owner of its shards does, and confirms ends of jobs that it
// does not know.
func TestReplacedOwnerConfirmsEndAfterRestart(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := newDeployment(ctx, t, logsDir(t, replacedSeed), buildBinary(t), reserveNetwork(t), defaultAgentCount, replacedSeed)
	sleep(ctx, startupDelay)
	replaced := d.gateways[0]
	replaced.storeRelay.Pause(fromAny, true, true)
	sleep(ctx, takeoverTime)
	c := newClient(d)
	for round := range replacedRounds {
		var ids []string
		for number := range replacedJobs {
			id := fmt.Sprintf("%016x", round*replacedJobs+number)
			ids = append(ids, id)
			d.ledger.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: []int32{defaultAgentCount}})
			if status, text := c.call(ctx, http.MethodPost, 1+number%2, id, jobJSON([]int32{defaultAgentCount})); status != http.StatusOK {
				t.Fatalf("submitting a job got status %d %s", status, text)
			}
		}
		sleep(ctx, startTime)
		d.restartAgentsReachedBy(ctx, replaced)
		d.waitUntil(ctx, t, func() bool { return c.haveEnded(ctx, ids) })
	}
	violations, runs := d.ledger.results()
	for _, violation := range violations {
		t.Error(violation)
	}
	t.Logf("%d runs", runs)
}

// restartAgentsReachedBy kills all agents. For firstTime, only one gateway reaches them.
func (d *deployment) restartAgentsReachedBy(ctx context.Context, gateway *process) {
	isOther := func(greeting []byte) bool { return !fromGateway(gateway)(greeting) }
	for index, agent := range d.agents {
		d.agentRelays[index].Pause(isOther, true, true)
		agent.signal(syscall.SIGKILL)
	}
	sleep(ctx, firstTime)
	for _, agentRelay := range d.agentRelays {
		agentRelay.Resume()
	}
}

// haveEnded reports whether all jobs have ended, by the gateways that are not cut off.
func (c *client) haveEnded(ctx context.Context, ids []string) bool {
	for _, id := range ids {
		if state := c.jobState(ctx, id, 1); state != "completed" && state != "failed" {
			return false
		}
	}
	return true
}
