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
	// workerMilliCPU is what a worker has.
	workerMilliCPU = 8000
	// leaseCheckInterval is how often a worker's lease is looked at.
	leaseCheckInterval = 5 * time.Millisecond
	// minRunTime and maxRunTime are what a run works, failShare the share of runs that fail.
	minRunTime = 150 * time.Millisecond
	maxRunTime = 1200 * time.Millisecond
	failShare  = 0.02
)

// workerHost is one worker after the other at one address.
type workerHost struct {
	name   string
	ledger *ledger
	server *httptest.Server
	// reportsStartTime has its workers say when they started: they may start again under their id.
	reportsStartTime bool

	mu               sync.Mutex
	incarnationCount int
	idCount          int // how many ids its workers have had
	worker           *wireworker.Worker
	sequence         int64
	downUntil        time.Time
	resumed          chan struct{} // closed once the worker answers again; nil while it does
}

func newWorkerHost(name string, dated bool, book *ledger) *workerHost {
	made := &workerHost{name: name, reportsStartTime: dated, ledger: book}
	made.startIncarnation(nil)
	made.server = httptest.NewServer(made)
	return made
}

// address is where the worker is called.
func (machine *workerHost) address() string { return strings.TrimPrefix(machine.server.URL, "http://") }

// startIncarnation begins the next life, with the lock held or before anyone knows of the machine: one that was made
// under the id of the life before, or nil for one with an id of its own.
func (machine *workerHost) startIncarnation(worker *wireworker.Worker) {
	machine.incarnationCount++
	machine.sequence = 0
	if worker == nil {
		machine.idCount++
		worker = machine.newWorker()
	}
	life := machine.incarnationName()
	worker.OnChange(func(change wireworker.Change) {
		machine.ledger.recordChange(life, change)
		if change.Kind == wireworker.Started {
			machine.scheduleEnd(worker, change)
		}
	})
	machine.worker = worker
}

func (machine *workerHost) newWorker() *wireworker.Worker {
	if machine.reportsStartTime {
		return wireworker.NewWithStartTime(machine.workerID(), clockwork.NewRealClock())
	}
	return wireworker.New(machine.workerID(), clockwork.NewRealClock())
}

// workerID is what the present worker calls itself.
func (machine *workerHost) workerID() string {
	return fmt.Sprintf("%s-id-%d", machine.name, machine.idCount)
}

// incarnationName names the present life in the ledger.
func (machine *workerHost) incarnationName() string {
	return fmt.Sprintf("%s-life-%d", machine.name, machine.incarnationCount)
}

// scheduleEnd has a run end once it has worked.
func (machine *workerHost) scheduleEnd(worker *wireworker.Worker, begun wireworker.Change) {
	how := "done"
	if rand.Float64() < failShare {
		how = "failed"
	}
	work := minRunTime + rand.N(maxRunTime-minRunTime)
	time.AfterFunc(work, func() {
		machine.mu.Lock()
		lives := machine.worker == worker
		machine.mu.Unlock()
		if lives {
			worker.EndAttempt(begun.Task, begun.Attempt, how)
		}
	})
}

// currentWorker returns the life that stands there, nil while none does.
func (machine *workerHost) currentWorker() *wireworker.Worker {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if time.Now().Before(machine.downUntil) {
		return nil
	}
	return machine.worker
}

// ServeHTTP is the worker's address.
func (machine *workerHost) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	machine.mu.Lock()
	silent, arrivedAt := machine.resumed, machine.incarnationCount
	machine.mu.Unlock()
	if silent != nil {
		// What has arrived is carried out once the worker goes on, also if nobody waits.
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		<-silent
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	worker := machine.currentWorker()
	if worker == nil || silent != nil && machine.hasRestartedSince(arrivedAt) {
		// What a process held up ends with it.
		panic(http.ErrAbortHandler)
	}
	worker.ServeHTTP(answer, request)
}

// hasRestartedSince reports whether another life has begun since there were so many.
func (machine *workerHost) hasRestartedSince(lives int) bool {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.incarnationCount != lives
}

// crash ends the present life; the next one, with an id of its own, stands there after a while.
func (machine *workerHost) crash(away time.Duration) {
	machine.replaceWorker(away, func(over *wireworker.Worker) *wireworker.Worker {
		over.Stop()
		return nil
	})
}

// restartDelay is crash for a worker that starts again under its id, if it is one that says when it started.
func (machine *workerHost) restart(away time.Duration) {
	if !machine.reportsStartTime {
		machine.crash(away)
		return
	}
	machine.replaceWorker(away, (*wireworker.Worker).Restart)
}

func (machine *workerHost) replaceWorker(away time.Duration, next func(over *wireworker.Worker) *wireworker.Worker) {
	machine.mu.Lock()
	machine.downUntil = time.Now().Add(away)
	over := machine.incarnationName()
	machine.startIncarnation(next(machine.worker))
	machine.mu.Unlock()
	machine.server.CloseClientConnections()
	machine.ledger.recordCrash(over)
}

// hang has the worker answer nothing until what it returns is called.
func (machine *workerHost) hang() (goOn func()) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	silent := make(chan struct{})
	machine.resumed = silent
	return func() {
		machine.mu.Lock()
		defer machine.mu.Unlock()
		if machine.resumed == silent {
			machine.resumed = nil
		}
		close(silent)
	}
}

// run sends heartbeats to the agent and looks at the lease until ctx ends.
func (machine *workerHost) run(ctx context.Context, control string) {
	beats, lapses := time.NewTicker(heartbeatInterval), time.NewTicker(leaseCheckInterval)
	defer beats.Stop()
	defer lapses.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beats.C:
			go machine.sendHeartbeat(ctx, control)
		case <-lapses.C:
			if worker := machine.currentWorker(); worker != nil {
				worker.RunningCount()
			}
		}
	}
}

func (machine *workerHost) sendHeartbeat(ctx context.Context, control string) {
	machine.mu.Lock()
	machine.sequence++
	id, sequence, down := machine.workerID(), machine.sequence, time.Now().Before(machine.downUntil)
	born := ""
	if machine.reportsStartTime {
		born = fmt.Sprintf(`,"born":%d`, machine.worker.StartTime())
	}
	machine.mu.Unlock()
	if down {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"service":"verbale","address":"%s","zone":"milano-a","state":"ready","capacity":{"cpu":%d,"mem_mb":16000},"labels":["a","r1"],"seq":%d%s}`,
		machine.address(), workerMilliCPU, sequence, born)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/v1/instances/"+id, strings.NewReader(body))
	if err != nil {
		return
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return // The agent may be away; the next heartbeat follows.
	}
	_ = answer.Body.Close()
}
