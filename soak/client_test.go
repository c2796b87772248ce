package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"ambertiller.example/ambertiller/standin/bootfile"
)

const (
	// submitInterval is the interval at which each client submits jobs: by default, about 17 jobs per second for
	// six agents.
	submitInterval = 120 * time.Millisecond
	// callTimeout bounds a client's call, and maxSubmitAttempts how often a client submits the same job.
	callTimeout       = 3 * time.Second
	maxSubmitAttempts = 5
	// taskMilliCPU is the CPU request of each task.
	taskMilliCPU = 400
	// cancelShare is the share of jobs that their clients cancel.
	cancelShare = 0.05
)

// client submits jobs, cancels some of them and reads their states. It reuses its connections.
type client struct {
	deployment *deployment
	http       *http.Client
}

func newClient(d *deployment) *client {
	return &client{deployment: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// run submits jobs until ctx is done.
func (c *client) run(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", rng.Uint64())
		steps := []int32{1 + rng.Int32N(6), rng.Int32N(5)}
		if steps[1] == 0 {
			steps = steps[:1]
		}
		firstGateway := rng.IntN(gatewayCount)
		cancelAccepted := rng.Float64() < cancelShare
		go c.submit(ctx, id, steps, firstGateway, cancelAccepted)
		sleep(ctx, submitInterval)
	}
}

// submit submits a job to one gateway after another until one accepts it, up to maxSubmitAttempts times.
func (c *client) submit(ctx context.Context, id string, steps []int32, firstGateway int, cancelAccepted bool) {
	l := c.deployment.ledger
	l.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: steps})
	for attempt := range maxSubmitAttempts {
		status, _ := c.call(ctx, http.MethodPost, firstGateway+attempt, id, jobJSON(steps))
		switch status {
		case http.StatusOK:
			l.updateJob(id, func(history *jobHistory) { history.accepted = true })
			if cancelAccepted {
				c.cancel(ctx, id, firstGateway)
			}
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			l.updateJob(id, func(history *jobHistory) { history.outcomeUnknown = true })
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// cancel cancels a job 300 ms after its acceptance.
func (c *client) cancel(ctx context.Context, id string, gateway int) {
	sleep(ctx, 300*time.Millisecond)
	c.deployment.ledger.updateJob(id, func(history *jobHistory) { history.cancelled = true })
	c.call(ctx, http.MethodDelete, gateway, id, "")
}

// jobJSON returns the request body of a job in which each step waits for the previous one.
func jobJSON(steps []int32) string {
	var stepsJSON []string
	for index, count := range steps {
		after := ""
		if index > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, index-1)
		}
		stepsJSON = append(stepsJSON, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":600%s}`, count, taskMilliCPU, after))
	}
	return `{"spec":"s","steps":[` + strings.Join(stepsJSON, ",") + `]}`
}

// call sends a request for a job to a gateway. Status 0 means that no response arrived.
func (c *client) call(ctx context.Context, method string, gateway int, id, body string) (status int, text string) {
	return c.send(ctx, method, gateway, "/q/"+id, body)
}

// send sends a request to a gateway. Status 0 means that no response arrived.
func (c *client) send(ctx context.Context, method string, gateway int, path, body string) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	url := "http://" + bootfile.ClientAddress(c.deployment.gateways[gateway%gatewayCount].ip) + path
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "q.example"
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read.
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

// jobState returns the state of a job as a gateway reports it, or the HTTP status if it reports none.
func (c *client) jobState(ctx context.Context, id string, gateway int) string {
	status, text := c.call(ctx, http.MethodGet, gateway, id, "")
	for _, state := range []string{"completed", "failed", "cancelled", "running", "queued"} {
		if strings.Contains(text, state) && status == http.StatusOK {
			return state
		}
	}
	return fmt.Sprintf("status %d", status)
}
