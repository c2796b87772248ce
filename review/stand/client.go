package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serviceName = "verbale"
	queueHost   = "q.example"
	queuePrefix = "/q/"
	deadline    = 3 * time.Second
)

// step is a step of a job, as clients send it.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"mem_mb"`
	EstimateMs  int64  `json:"estimate_ms"`
	After       []int  `json:"after,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
	// AntiAffinity is how many tasks of the step one worker holds at most; 0 for no limit.
	AntiAffinity int  `json:"anti_affinity,omitempty"`
	LongRunning  bool `json:"long_running,omitempty"`
}

// submission is a job, as clients send it.
type submission struct {
	id         string
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Times      int    `json:"times,omitempty"`
	StartAtMs  int64  `json:"start_at_ms,omitempty"`
	IntervalMs int64  `json:"interval_ms,omitempty"`
}

// tasks returns how many tasks the job has.
func (s *submission) tasks() int {
	count := 0
	for _, st := range s.Steps {
		count += st.Count
	}
	return count * max(s.Times, 1)
}

// jobs holds what clients have sent, by job ID.
type jobs struct {
	mu   sync.Mutex
	sent map[string]*submission
}

// needs returns what a task asks for, and whether a client has sent it. The work takes as long as its estimate says.
func (j *jobs) needs(task string) (need, bool) {
	id, round, number, index := "", 0, 0, 0
	if len(task) < 17 {
		return need{}, false
	}
	id = task[:16]
	if _, err := fmt.Sscanf(task[17:], "%d.%d.%d", &round, &number, &index); err != nil {
		return need{}, false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	s, found := j.sent[id]
	if !found || number >= len(s.Steps) || index >= s.Steps[number].Count || round >= max(s.Times, 1) {
		return need{}, false
	}
	st := s.Steps[number]
	return need{cpu: st.CPU, memMB: st.MemMB, work: time.Duration(st.EstimateMs) * time.Millisecond, lasting: st.LongRunning}, true
}

// client sends the requests of clients.
type client struct {
	http    *http.Client
	records *ledger
	jobs    *jobs
}

func newClient(records *ledger) *client {
	return &client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, records: records, jobs: &jobs{sent: map[string]*submission{}}}
}

// call sends one request to a gateway. The status is 0 if there was no answer.
func (c *client) call(ctx context.Context, gateway *process, method, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.ip+":8161"+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Ambertiller-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close() //nolint:errcheck // Nothing more is read.
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// submit hands a job in, at one gateway after the other, until a gateway accepts it or ctx ends.
func (c *client) submit(ctx context.Context, gateways []*process, s *submission) bool {
	body, err := json.Marshal(s)
	if err != nil {
		return false
	}
	c.jobs.mu.Lock()
	c.jobs.sent[s.id] = s
	c.jobs.mu.Unlock()
	for try := 0; ctx.Err() == nil; try++ {
		gateway := gateways[try%len(gateways)]
		status, _ := c.call(ctx, gateway, http.MethodPost, s.id, body)
		c.records.note("POST job %s (%d tasks, spec of %d bytes) at %s: %d", s.id, s.tasks(), len(s.Spec), gateway.name, status)
		if status/100 == 2 {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
	return false
}

// What state returns if there is no state.
const (
	noAnswer   = "no answer"
	unknownJob = "unknown (410)"
)

// state asks for the state of a job at one gateway after the other.
func (c *client) state(ctx context.Context, gateways []*process, id string) string {
	for _, gateway := range gateways {
		status, text := c.call(ctx, gateway, http.MethodGet, id, nil)
		if status == http.StatusGone {
			return unknownJob
		}
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(text, &body) == nil {
			return body.State
		}
	}
	return noAnswer
}
