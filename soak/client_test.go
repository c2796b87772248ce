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
	// submitInterval is how often a job is handed in, per agent once a second or so.
	submitInterval = 120 * time.Millisecond
	// callTimeout bounds a client's call, maxSubmitAttempts how often one job is handed in.
	callTimeout       = 3 * time.Second
	maxSubmitAttempts = 5
	// taskMilliCPU is what each task asks for.
	taskMilliCPU = 400
	// cancelShare is the share of jobs that their clients cancel.
	cancelShare = 0.05
)

// client hands jobs in and asks for them. It keeps its connections open.
type client struct {
	deployment *deployment
	http       *http.Client
}

func newClient(of *deployment) *client {
	return &client{deployment: of, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// run hands jobs in until ctx ends.
func (caller *client) run(ctx context.Context, draw *rand.Rand) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%016x", draw.Uint64())
		steps := []int32{1 + draw.Int32N(6), draw.Int32N(5)}
		if steps[1] == 0 {
			steps = steps[:1]
		}
		first := draw.IntN(gatewayCount)
		cancels := draw.Float64() < cancelShare
		go caller.submit(ctx, id, steps, first, cancels)
		sleep(ctx, submitInterval)
	}
}

// submit hands a job in at one gateway after the other until one accepts it.
func (caller *client) submit(ctx context.Context, id string, steps []int32, first int, cancels bool) {
	book := caller.deployment.ledger
	book.addJob(id, &jobHistory{maxAttempts: maxTaskAttempts, steps: steps})
	for try := range maxSubmitAttempts {
		status, _ := caller.call(ctx, http.MethodPost, first+try, id, jobJSON(steps))
		switch status {
		case http.StatusOK:
			book.updateJob(id, func(handed *jobHistory) { handed.accepted = true })
			if cancels {
				caller.cancel(ctx, id, first)
			}
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			book.updateJob(id, func(handed *jobHistory) { handed.outcomeUnknown = true })
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

func (caller *client) cancel(ctx context.Context, id string, at int) {
	sleep(ctx, 300*time.Millisecond)
	caller.deployment.ledger.updateJob(id, func(handed *jobHistory) { handed.cancelled = true })
	caller.call(ctx, http.MethodDelete, at, id, "")
}

// jobJSON is a job as it is handed in: each step waits for the one before.
func jobJSON(steps []int32) string {
	var texts []string
	for number, count := range steps {
		after := ""
		if number > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, number-1)
		}
		texts = append(texts, fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":600%s}`, count, taskMilliCPU, after))
	}
	return `{"spec":"s","steps":[` + strings.Join(texts, ",") + `]}`
}

// call makes a call at a gateway; status 0 stands for no answer.
func (caller *client) call(ctx context.Context, method string, gateway int, id, body string) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	url := "http://" + bootfile.ClientAddress(caller.deployment.gateways[gateway%gatewayCount].ip) + "/q/" + id
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "q.example"
	answer, err := caller.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close() //nolint:errcheck // it has been read.
	read, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(read)
}

// jobState returns what a job is shown as.
func (caller *client) jobState(ctx context.Context, id string, gateway int) string {
	status, text := caller.call(ctx, http.MethodGet, gateway, id, "")
	for _, state := range []string{"completed", "failed", "cancelled", "running", "queued"} {
		if strings.Contains(text, state) && status == http.StatusOK {
			return state
		}
	}
	return fmt.Sprintf("status %d", status)
}
