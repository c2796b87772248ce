package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"ambertiller.example/ambertiller/standin/wireworker"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	// workerMilliCPU is the CPU capacity of a worker.
	workerMilliCPU = 8000
	// leaseCheckInterval is the interval at which a worker checks whether its lease has expired.
	leaseCheckInterval = 5 * time.Millisecond
	// minRunTime and maxRunTime bound the time that a run takes. failShare is the share of runs that fail.
	minRunTime = 150 * time.Millisecond
	maxRunTime = 1200 * time.Millisecond
	failShare  = 0.02
)

// workerHost serves one worker after another at the same address, and sends their heartbeats.
type workerHost struct {
	name   string
	ledger *ledger
	server *httptest.Server
	// agentAddress is the address to which heartbeats are sent.
	agentAddress string
	// reportsStartTime is set if its workers report their start time. Only such workers may restart under
	// their ID.
	reportsStartTime bool

	mu               sync.Mutex
	incarnationCount int
	idCount          int // how many IDs its workers have had
	worker           *wireworker.Worker
	sequence         int64
	downUntil        time.Time
	leavesAt         time.Time // when the present incarnation leaves; zero unless it drains
	// runsLast is set if runs go on until they are stopped.
	runsLast bool
	resumed  chan struct{} // closed when a hanging worker resumes; nil while no worker hangs
}

func newWorkerHost(name, agentAddress string, reportsStartTime bool, l *ledger) *workerHost {
	h := &workerHost{name: name, agentAddress: agentAddress, reportsStartTime: reportsStartTime, ledger: l}
	h.startIncarnation(nil)
	h.server = httptest.NewServer(h)
	return h
}

// address returns the address at which the worker is called.
func (h *workerHost) address() string { return strings.TrimPrefix(h.server.URL, "http://") }

// startIncarnation starts the next incarnation on the host: a worker that has restarted under its ID, or, if
// worker is nil, a worker with a new ID. The caller holds the lock, unless the host is not in use yet.
func (h *workerHost) startIncarnation(worker *wireworker.Worker) {
	h.incarnationCount++
	h.sequence = 0
	h.leavesAt = time.Time{}
	if worker == nil {
		h.idCount++
		worker = h.newWorker()
	}
	incarnation := h.incarnationName()
	worker.OnChange(func(change wireworker.Change) {
		h.ledger.recordChange(incarnation, change)
		if change.Kind == wireworker.Started {
			h.scheduleEnd(worker, change)
		}
	})
	h.worker = worker
}

// newWorker returns a worker with the current ID.
func (h *workerHost) newWorker() *wireworker.Worker {
	if h.reportsStartTime {
		return wireworker.NewWithStartTime(h.workerID(), clockwork.NewRealClock())
	}
	return wireworker.New(h.workerID(), clockwork.NewRealClock())
}

// workerID returns the ID of the current worker.
func (h *workerHost) workerID() string {
	return fmt.Sprintf("%s-id-%d", h.name, h.idCount)
}

// incarnationName returns the name of the current incarnation in the ledger.
func (h *workerHost) incarnationName() string {
	return fmt.Sprintf("%s-life-%d", h.name, h.incarnationCount)
}

// scheduleEnd ends a run after a random time, unless the worker has been replaced by then.
func (h *workerHost) scheduleEnd(worker *wireworker.Worker, start wireworker.Change) {
	reason := "done"
	if rand.Float64() < failShare {
		reason = "failed"
	}
	if h.runsLast {
		time.AfterFunc(minRunTime, func() { worker.SetProgress(start.Task, 100) })
		return
	}
	runTime := minRunTime + rand.N(maxRunTime-minRunTime)
	time.AfterFunc(runTime, func() {
		h.mu.Lock()
		isCurrent := h.worker == worker
		h.mu.Unlock()
		if isCurrent {
			worker.EndAttempt(start.Task, start.Attempt, reason)
		}
	})
}

// currentWorker returns the current worker, or nil while it is down.
func (h *workerHost) currentWorker() *wireworker.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Now().Before(h.downUntil) {
		return nil
	}
	return h.worker
}

// ServeHTTP passes requests to the current worker.
func (h *workerHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	resumed, incarnationCount := h.resumed, h.incarnationCount
	h.mu.Unlock()
	if resumed != nil {
		// A request that has arrived is carried out once the worker resumes, even if its client has given up.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		<-resumed
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	worker := h.currentWorker()
	if worker == nil || resumed != nil && h.hasRestartedSince(incarnationCount) {
		// A request that a hanging worker has received is lost if that worker ends.
		panic(http.ErrAbortHandler)
	}
	worker.ServeHTTP(w, r)
}

// hasRestartedSince reports whether another incarnation has started since incarnationCount was read.
func (h *workerHost) hasRestartedSince(incarnationCount int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnationCount != incarnationCount
}

// crash ends the current incarnation. The next one has a new ID and starts to answer after the downtime.
func (h *workerHost) crash(downtime time.Duration) {
	h.replaceWorker(downtime, func(old *wireworker.Worker) *wireworker.Worker {
		old.Stop()
		return nil
	})
}

// restart restarts the worker under its ID. A worker that doesn't report its start time gets a new ID, as
// after a crash.
func (h *workerHost) restart(downtime time.Duration) {
	if !h.reportsStartTime {
		h.crash(downtime)
		return
	}
	h.replaceWorker(downtime, (*wireworker.Worker).Restart)
}

// replaceWorker replaces the current worker by the one that nextWorker returns, or by one with a new ID if
// that is nil, and closes all connections.
func (h *workerHost) replaceWorker(downtime time.Duration, nextWorker func(ended *wireworker.Worker) *wireworker.Worker) {
	h.mu.Lock()
	h.downUntil = time.Now().Add(downtime)
	ended := h.incarnationName()
	h.startIncarnation(nextWorker(h.worker))
	h.mu.Unlock()
	h.server.CloseClientConnections()
	h.ledger.recordCrash(ended)
}

// leave has the worker announce that it leaves, and ends it after the notice. The next one starts to answer after the time
// away.
func (h *workerHost) leave(ctx context.Context, notice, away time.Duration) {
	h.mu.Lock()
	h.leavesAt = time.Now().Add(notice)
	h.mu.Unlock()
	h.sendHeartbeat(ctx)
	sleep(ctx, notice)
	h.crash(away)
}

// hang keeps the worker from answering until the returned function is called.
func (h *workerHost) hang() (resume func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resumed := make(chan struct{})
	h.resumed = resumed
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.resumed == resumed {
			h.resumed = nil
		}
		close(resumed)
	}
}

// run sends heartbeats to the agent and checks the lease until ctx is done.
func (h *workerHost) run(ctx context.Context) {
	heartbeats, leaseChecks := time.NewTicker(heartbeatInterval), time.NewTicker(leaseCheckInterval)
	defer heartbeats.Stop()
	defer leaseChecks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeats.C:
			go h.sendHeartbeat(ctx)
		case <-leaseChecks.C:
			if worker := h.currentWorker(); worker != nil {
				worker.RunningCount() // Ends the runs if the lease has expired.
			}
		}
	}
}

// sendHeartbeat sends a heartbeat to the agent, unless the worker is down.
func (h *workerHost) sendHeartbeat(ctx context.Context) {
	h.mu.Lock()
	h.sequence++
	id, sequence, down := h.workerID(), h.sequence, time.Now().Before(h.downUntil)
	state, optionalFields := "ready", ""
	if h.reportsStartTime {
		optionalFields += fmt.Sprintf(`,"born":%d`, h.worker.StartTime())
	}
	if !h.leavesAt.IsZero() {
		state = "draining"
		optionalFields += fmt.Sprintf(`,"remaining_ms":%d`, max(time.Until(h.leavesAt).Milliseconds(), 0))
	}
	h.mu.Unlock()
	if down {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"service":"verbale","address":"%s","zone":"milano-a","state":"%s","capacity":{"cpu":%d,"mem_mb":16000},"labels":["a","r1"],"seq":%d%s}`,
		h.address(), state, workerMilliCPU, sequence, optionalFields)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+h.agentAddress+"/v1/instances/"+id, strings.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // The agent may be down; the next heartbeat follows.
	}
	_ = response.Body.Close()
}
