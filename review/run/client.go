package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// step is a step of a job as clients submit it.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"mem_mb"`
	EstimateMs    int64  `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`
}

// jobSpec is a job as clients submit it.
type jobSpec struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// submitted is a job that the client has handed in.
type submitted struct {
	id         string
	name       string
	spec       jobSpec
	acceptedAt time.Time // of the first 2xx
	rejected   bool      // every attempt was rejected with 429 or 503
}

// client hands jobs in as the users' clients do.
type client struct {
	d  *deployment
	mu sync.Mutex
	// turn is the gateway that the next call goes to.
	turn int
	// gateways are those that the platform passes clients to.
	gateways []*node
	http     *http.Client
}

func newClient(d *deployment) *client {
	return &client{d: d, gateways: d.gateways, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}}}
}

const (
	clientDeadline = 3 * time.Second
	clientTries    = 5
)

// submit hands a job in at one gateway after the other until it has been taken. It returns after the last try.
func (c *client) submit(ctx context.Context, name string, spec jobSpec) (*submitted, error) {
	job := &submitted{id: fmt.Sprintf("%016x", rand.Uint64()), name: name, spec: spec} //nolint:gosec // no secret.
	c.d.world.addJob(job)
	body, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	job.rejected = true
	for range clientTries {
		status, _ := c.call(ctx, http.MethodPost, job.id, body)
		switch {
		case status/100 == 2:
			job.acceptedAt, job.rejected = time.Now(), false
			return job, nil
		case status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
			job.rejected = false
		}
		sleep(ctx, time.Second)
	}
	return job, nil
}

// state asks for the state of a job, up to three gateways in turn. It is empty if none answers, and "410" if the job is not known.
func (c *client) state(ctx context.Context, job *submitted) string {
	for range gatewayCount {
		status, body := c.call(ctx, http.MethodGet, job.id, nil)
		if status == http.StatusGone {
			return "410"
		}
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// call makes one call of a client. The status is 0 if there was no answer.
func (c *client) call(ctx context.Context, method, id string, body []byte) (int, []byte) {
	c.mu.Lock()
	gateway := c.gateways[c.turn%len(c.gateways)]
	c.turn++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, clientDeadline)
	defer cancel()
	url := "http://" + net.JoinHostPort(gateway.ip, clientPort) + "/q/" + id
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body)) //nolint:gosec // a loopback address.
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Ambertiller-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := c.http.Do(request) //nolint:gosec // a loopback address.
	if err != nil {
		c.d.rec.log("client: %s %s at %s: no answer: %v", method, id, gateway.name, err)
		return 0, nil
	}
	defer response.Body.Close() //nolint:errcheck // it has been read.
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	c.d.rec.log("client: %s %s at %s -> %d %s", method, id, gateway.name, response.StatusCode, text)
	return response.StatusCode, text
}
