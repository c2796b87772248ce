package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

const (
	workerCPU   = 32000
	workerMemMB = 125000
	beatTime    = 1100 * time.Millisecond
	firstClock  = 1000 // reading of a new worker's clock, in ms
	mostEnds    = 500
)

// machine is a machine with one worker after another.
type machine struct {
	world          *world
	name           string
	app, control   string // addresses of the worker and of its agent
	lives          int
	life           *life // nil while no worker is up
	server         *http.Server
	stopHeartbeats context.CancelFunc
	labels         []string
}

// life is one worker from its start to its end.
type life struct {
	machine  *machine
	id       string
	startAt  time.Time
	fence    int64
	leaseMs  int64
	seq      int64
	running  map[string]*run
	highest  map[string]int32 // of the attempts that were stopped or have ended, by task
	ends     []listedEnd
	lastEnd  int64
	changed  chan struct{}
	lapsedMs int64       // the lease that lapsed last
	lapses   []time.Time // when leases lapsed
}

// lapsedBetween reports whether the lease lapsed between two times.
func (l *life) lapsedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(l.lapses, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

type listedEnd struct {
	number int64
	run    *run
}

func newMachine(w *world, name, app, control string) *machine {
	m := &machine{world: w, name: name, app: app, control: control}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, m)
	return m
}

// boot starts a worker with a new id.
func (m *machine) boot(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", m.app)
	if err != nil {
		return err
	}
	m.world.mu.Lock()
	m.lives++
	l := &life{
		machine: m, id: fmt.Sprintf("i-%s-%d", m.name, m.lives), startAt: time.Now(),
		running: map[string]*run{}, highest: map[string]int32{}, changed: make(chan struct{}),
	}
	m.life = l
	m.world.mu.Unlock()
	m.world.rec.log("worker %s: up at %s", l.id, m.app)
	m.server = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(m.server)
	beatCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.stopHeartbeats = cancel
	go l.beat(beatCtx)
	go l.watchLease(beatCtx)
	return nil
}

func (m *machine) shut() {
	if m.server == nil {
		return
	}
	m.stopHeartbeats()
	_ = m.server.Close()
}

// beat sends heartbeats to the agent until ctx ends.
func (l *life) beat(ctx context.Context) {
	for ctx.Err() == nil {
		l.machine.world.mu.Lock()
		l.seq++
		body, err := json.Marshal(map[string]any{
			"service": service, "address": l.machine.app, "zone": "milano-a", "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
			"labels": l.machine.labels, "clock_ms": l.clock(), "seq": l.seq, "machine": l.machine.name,
		})
		l.machine.world.mu.Unlock()
		if err == nil {
			l.sendBeat(ctx, body)
		}
		// Roughly once every heartbeat_ms.
		sleep(ctx, beatTime*9/10+rand.N(beatTime/5)) //nolint:gosec // no secret.
	}
}

func (l *life) sendBeat(ctx context.Context, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + l.machine.control + "/v1/instances/" + l.id
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // The next one is sent to the same agent: it is the only one on the machine.
	}
	_ = response.Body.Close()
}

// watchLease ends all runs when the lease is over.
func (l *life) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		l.machine.world.mu.Lock()
		l.checkLease()
		l.machine.world.mu.Unlock()
		sleep(ctx, 5*time.Millisecond)
	}
}

func (l *life) checkLease() {
	if l.clock() < l.leaseMs {
		return
	}
	if l.leaseMs > l.lapsedMs {
		l.lapsedMs = l.leaseMs
		l.lapses = append(l.lapses, time.Now())
	}
	for _, r := range l.running {
		l.machine.world.end(r, howLapsed)
	}
}

// clock returns the reading of the worker's clock.
func (l *life) clock() int64 { return firstClock + time.Since(l.startAt).Milliseconds() }

func (l *life) freeCPU() int64 {
	free := int64(workerCPU)
	for _, r := range l.running {
		free -= r.job.spec.Steps[r.step].CPU
	}
	return free
}

func (l *life) freeMemMB() int64 {
	free := int64(workerMemMB)
	for _, r := range l.running {
		free -= r.job.spec.Steps[r.step].MemMB
	}
	return free
}

// list lists the end of a run, and wakes the looks that wait.
func (l *life) list(r *run) {
	delete(l.running, r.task)
	l.highest[r.task] = max(l.highest[r.task], r.attempt)
	l.lastEnd++
	l.ends = append(l.ends, listedEnd{l.lastEnd, r})
	close(l.changed)
	l.changed = make(chan struct{})
}

// order is the body of any call.
type order struct {
	Task         string `json:"task"`
	Attempt      int32  `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
}

func (l *life) serve(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("X-Ambertiller-Expect-Instance") != l.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var body order
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w := l.machine.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.machine.life != l {
		panic(http.ErrAbortHandler)
	}
	if body.FencingToken < l.fence {
		l.answer(writer, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	l.fence = body.FencingToken
	l.leaseMs = max(l.leaseMs, min(body.DeadlineMs, l.clock()+maxHold.Milliseconds()))
	switch request.URL.Path {
	case "/v1/run-start":
		if reason := l.start(&body); reason != "" {
			w.rec.log("worker %s: start %s attempt %d rejected: %s", l.id, body.Task, body.Attempt, reason)
			l.answer(writer, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		l.answer(writer, http.StatusOK, map[string]any{})
	case "/v1/run-stop":
		l.stop(&body)
		l.answer(writer, http.StatusOK, map[string]any{})
	case "/v1/pace":
		l.answer(writer, http.StatusOK, map[string]any{})
	case "/v1/hold":
		l.hold(writer, request, &body)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (l *life) answer(writer http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = l.clock()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

// start carries out a start, and returns the reason if it is rejected.
func (l *life) start(body *order) string {
	l.checkLease()
	w := l.machine.world
	jobID, _, step, ok := parseTask(body.Task)
	job := w.jobs[jobID]
	present, found := l.running[body.Task]
	switch {
	case !ok || job == nil || step >= len(job.spec.Steps) || body.Spec != job.spec.Spec:
		w.rec.log("worker %s: start of %s that no client sent", l.id, body.Task)
		return "old"
	case body.DeadlineMs <= l.clock():
		return "late"
	case found && present.attempt == body.Attempt:
		return ""
	case found || body.Attempt <= l.highest[body.Task]:
		return "old"
	case job.spec.Steps[step].CPU > l.freeCPU() || job.spec.Steps[step].MemMB > l.freeMemMB():
		return "room"
	}
	r := &run{task: body.Task, job: job, step: step, attempt: body.Attempt, life: l}
	l.running[r.task] = r
	w.begin(r)
	return ""
}

// stop stops a run. One that is not there yet will be rejected.
func (l *life) stop(body *order) {
	l.machine.world.rec.log("worker %s: stop %s attempt %d", l.id, body.Task, body.Attempt)
	r, found := l.running[body.Task]
	if !found || r.attempt != body.Attempt {
		l.highest[body.Task] = max(l.highest[body.Task], body.Attempt)
		return
	}
	time.AfterFunc(stopTime, func() {
		l.machine.world.mu.Lock()
		defer l.machine.world.mu.Unlock()
		if l.machine.life == l {
			l.machine.world.end(r, howStopped)
		}
	})
}

// hold takes note of ends, waits for one, and lists runs and ends. It is called with the lock, which it gives up while
// it waits.
func (l *life) hold(writer http.ResponseWriter, request *http.Request, body *order) {
	kept := l.ends[:0:0]
	for _, end := range l.ends {
		if end.number > body.LastSeen {
			kept = append(kept, end)
			continue
		}
		end.run.notedAt = time.Now()
	}
	l.ends = kept
	if changed := l.changed; len(l.ends) == 0 && body.WaitMs > 0 {
		l.machine.world.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(body.WaitMs) * time.Millisecond):
		case <-request.Context().Done():
		}
		l.machine.world.mu.Lock()
	}
	if l.machine.life != l {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range l.running {
		running = append(running, []any{r.task, r.attempt, "", r.progress(), r.job.spec.Steps[r.step].CPU})
	}
	for _, end := range l.ends[:min(len(l.ends), mostEnds)] {
		finished = append(finished, []any{end.number, end.run.task, end.run.attempt, end.run.how, ""})
	}
	l.answer(writer, http.StatusOK, map[string]any{"running": running, "finished_at": finished})
}

// progress returns how far a run is, in percent.
func (r *run) progress() int {
	spec := r.job.spec.Steps[r.step]
	if spec.LongRunning || r.worksAt.IsZero() || spec.EstimateMs == 0 {
		return r.percent
	}
	return int(min(time.Since(r.worksAt).Milliseconds()*100/spec.EstimateMs, 99))
}
