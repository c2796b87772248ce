package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	sweepInterval     = 20 * time.Millisecond
	progressFull      = 100
	maxListedEnds     = 500
	maxHoldMs         = 6000
)

// need is what a task of a step asks for, and how long its work takes.
type need struct {
	cpu, memMB int64
	work       time.Duration
	lasting    bool
}

// run is a task at work on a worker.
type run struct {
	task      string
	attempt   int32
	need      need
	startedAt time.Time
	stopAt    time.Time // when a run that is being stopped ends; zero otherwise
}

// end is the end of a run, which is listed until it is acknowledged.
type end struct {
	number  int64
	task    string
	attempt int32
	how     string
	lapses  int // how often the lease had lapsed when the run ended
}

// worker is a stand-in for a worker with `preconditions`: it rejects what does not fit.
type worker struct {
	id, machine, service string
	kind, rack           string // its labels
	cpu, memMB           int64
	control              string // where heartbeats go
	needs                func(task string) (need, bool)
	records              *ledger
	server               *httptest.Server

	mu         sync.Mutex
	bornAt     time.Time
	sequence   int64
	running    map[string]*run
	ended      map[string]int32 // highest attempt that ended or was stopped, by task
	ends       []end
	lastNumber int64
	token      int64
	leaseMs    int64
	lapses     int
	changed    chan struct{}
	// dark is set for a worker that is lost without a sign: it answers nothing, and its connections stay open.
	dark bool
	// down is set while the worker has crashed and is not back yet: its connections end.
	down  bool
	lives int // how often it has come back
}

func newWorker(machine, service, rack, control string, cpu, memMB int64, needs func(task string) (need, bool), records *ledger) *worker {
	w := &worker{
		id: machine + "-1", machine: machine, service: service, kind: "a", rack: rack, cpu: cpu, memMB: memMB, control: control, needs: needs, records: records,
		bornAt: time.Now(), running: map[string]*run{}, ended: map[string]int32{}, changed: make(chan struct{}),
	}
	w.server = httptest.NewServer(w)
	return w
}

func (w *worker) address() string { return strings.TrimPrefix(w.server.URL, "http://") }

// clockMs reads the worker's steady clock.
func (w *worker) clockMs() int64 { return time.Since(w.bornAt).Milliseconds() + 1000 }

// serve sends heartbeats and ends runs whose time has come, until ctx ends.
func (w *worker) serve(ctx context.Context) {
	beats, sweeps := time.NewTicker(heartbeatInterval), time.NewTicker(sweepInterval)
	defer beats.Stop()
	defer sweeps.Stop()
	go w.beat(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-beats.C:
			go w.beat(ctx)
		case <-sweeps.C:
			w.mu.Lock()
			w.sweep(time.Now())
			w.mu.Unlock()
		}
	}
}

// sweep ends the runs that are done, stopped or without a lease. The lock must be held.
func (w *worker) sweep(now time.Time) {
	if w.leaseMs > 0 && w.clockMs() >= w.leaseMs {
		w.leaseMs = 0
		w.lapses++
		for _, r := range w.running {
			w.endRun(r, "lapsed")
		}
	}
	for _, r := range w.running {
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.endRun(r, "stopped")
		case r.stopAt.IsZero() && !r.need.lasting && now.Sub(r.startedAt) >= r.need.work:
			w.endRun(r, "done")
		}
	}
}

// endRun lists the end of a run. The lock must be held.
func (w *worker) endRun(r *run, how string) {
	delete(w.running, r.task)
	w.ended[r.task] = max(w.ended[r.task], r.attempt)
	w.lastNumber++
	w.ends = append(w.ends, end{number: w.lastNumber, task: r.task, attempt: r.attempt, how: how, lapses: w.lapses})
	w.records.ended(w.id, r.task, r.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// goDark ends the worker without a sign, and for good.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.records.ended(w.id, r.task, r.attempt, "lost with the worker")
	}
	w.records.note("worker %s is lost with %d runs", w.id, len(w.running))
	w.running, w.ends, w.dark = map[string]*run{}, nil, true
}

// setKind sets the first label of the worker.
func (w *worker) setKind(kind string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kind = kind
}

// offers reports whether the worker has a label, and how much of its processors is free. Every worker has the label "".
func (w *worker) offers(label string) (free int64, has bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	free = w.cpu
	for _, r := range w.running {
		free -= r.need.cpu
	}
	return free, !w.down && !w.dark && (label == "" || label == w.kind || label == w.rack)
}

// crash ends the worker. After a time it is back under a new id: it runs nothing and has seen no fencing token.
func (w *worker) crash(ctx context.Context, downTime time.Duration) {
	w.mu.Lock()
	for _, r := range w.running {
		w.records.ended(w.id, r.task, r.attempt, "lost with the worker")
	}
	w.records.note("worker %s crashes with %d runs", w.id, len(w.running))
	w.running, w.ended, w.ends, w.down = map[string]*run{}, map[string]int32{}, nil, true
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	w.server.CloseClientConnections()
	sleep(ctx, downTime)
	w.mu.Lock()
	w.lives++
	w.id = fmt.Sprintf("%s-%d", w.machine, w.lives+1)
	w.bornAt, w.sequence, w.lastNumber, w.token, w.leaseMs, w.lapses = time.Now(), 0, 0, 0, 0, 0
	w.down = false
	w.records.note("worker %s is up", w.id)
	w.mu.Unlock()
	w.beat(ctx)
}

// beat sends a heartbeat to the agent.
func (w *worker) beat(ctx context.Context) {
	w.mu.Lock()
	w.sequence++
	id, dark := w.id, w.dark || w.down
	body, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address(), "zone": "milano-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0},
		"labels": []string{w.kind, w.rack}, "clock_ms": w.clockMs(), "seq": w.sequence,
	})
	w.mu.Unlock()
	if err != nil || dark {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/v1/instances/"+id, bytes.NewReader(body)) //nolint:gosec // It is a loopback address.
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request) //nolint:gosec // It is a loopback address.
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// order is the body of the calls that a worker takes.
type order struct {
	Task     string `json:"task"`
	Attempt  int32  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`
}

// ServeHTTP takes the calls of the agent.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	w.mu.Lock()
	dark, down, id := w.dark, w.down, w.id
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if dark {
		stayDark(request)
	}
	if request.Header.Get("X-Ambertiller-Expect-Instance") != id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body order
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	switch request.URL.Path {
	case "/v1/run-start":
		w.mu.Lock()
		reason := w.start(body)
		w.answer(writer, reason)
		w.mu.Unlock()
	case "/v1/run-stop":
		w.mu.Lock()
		w.answer(writer, w.stop(body))
		w.mu.Unlock()
	case "/v1/pace":
		w.mu.Lock()
		w.answer(writer, "")
		w.mu.Unlock()
	case "/v1/hold":
		w.hold(writer, request, body)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// stayDark gives no answer until the caller has given up.
func stayDark(request *http.Request) {
	// The end of the connection is noticed only once the body has been read.
	_, _ = io.Copy(io.Discard, request.Body)
	<-request.Context().Done()
	panic(http.ErrAbortHandler)
}

// answer answers an order. The lock must be held.
func (w *worker) answer(writer http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": w.clockMs()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// renew extends the lease. The lock must be held.
func (w *worker) renew(deadline int64) {
	w.leaseMs = max(w.leaseMs, min(deadline, w.clockMs()+maxHoldMs))
}

// start carries out a start and returns why it is rejected, or "". The lock must be held.
func (w *worker) start(body order) string {
	now := time.Now()
	w.sweep(now)
	if body.Token < w.token {
		return "fence"
	}
	w.token = body.Token
	if body.Deadline <= w.clockMs() {
		return "late"
	}
	w.renew(body.Deadline)
	current, found := w.running[body.Task]
	if found && current.attempt == body.Attempt {
		return ""
	}
	if found || body.Attempt <= w.ended[body.Task] {
		return "old"
	}
	asked, known := w.needs(body.Task)
	if !known {
		w.records.note("UNASKED: worker %s is told to start %s, which no client sent", w.id, body.Task)
	}
	usedCPU, usedMem := asked.cpu, asked.memMB
	for _, r := range w.running {
		usedCPU += r.need.cpu
		usedMem += r.need.memMB
	}
	if usedCPU > w.cpu || usedMem > w.memMB {
		return "room"
	}
	w.running[body.Task] = &run{task: body.Task, attempt: body.Attempt, need: asked, startedAt: now}
	w.records.started(w.id, body.Task, body.Attempt)
	return ""
}

// stop orders a run to stop. The lock must be held.
func (w *worker) stop(body order) string {
	if body.Token < w.token {
		return "fence"
	}
	w.token = body.Token
	r, found := w.running[body.Task]
	if found && r.attempt == body.Attempt && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(100 * time.Millisecond)
	}
	if !found {
		w.ended[body.Task] = max(w.ended[body.Task], body.Attempt)
	}
	return ""
}

// hold renews the lease and lists runs and ends. It waits for an end if there is none.
func (w *worker) hold(writer http.ResponseWriter, request *http.Request, body order) {
	w.mu.Lock()
	w.sweep(time.Now())
	if body.Token < w.token {
		w.answer(writer, "fence")
		w.mu.Unlock()
		return
	}
	w.token = body.Token
	w.renew(body.Deadline)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number > body.LastSeen {
			kept = append(kept, e)
			continue
		}
		if e.lapses == w.lapses {
			w.records.noted(w.id, e.task, e.attempt, e.how)
		}
	}
	w.ends = kept
	changed, waits, life := w.changed, len(w.ends) == 0 && body.WaitMs > 0, w.lives
	w.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(body.WaitMs) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.lives != life {
		panic(http.ErrAbortHandler) // A worker that crashes sends nothing.
	}
	if w.dark {
		w.mu.Unlock()
		defer w.mu.Lock()
		stayDark(request)
	}
	w.list(writer)
}

// list answers with the runs and the ends. The lock must be held.
func (w *worker) list(writer http.ResponseWriter) {
	now := time.Now()
	w.sweep(now)
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := int64(progressFull)
		if !r.need.lasting {
			percent = min(progressFull-1, progressFull*int64(now.Sub(r.startedAt))/int64(max(r.need.work, 1)))
		}
		running = append(running, []any{r.task, r.attempt, "", percent, r.need.cpu})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"clock_ms": w.clockMs(), "running": running, "finished_at": finished})
}

// usage returns the processors in use.
func (w *worker) usage() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := int64(0)
	for _, r := range w.running {
		used += r.need.cpu
	}
	return used
}
