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
	beatEvery = 1100 * time.Millisecond
	// workerMilliCPU is what a worker has.
	workerMilliCPU = 8000
	// lapseEvery is how often a worker's lease is looked at.
	lapseEvery = 5 * time.Millisecond
	// workLeast and workMost are what a run works, failShare the share of runs that fail.
	workLeast = 150 * time.Millisecond
	workMost  = 1200 * time.Millisecond
	failShare = 0.02
)

// machine is one worker after the other at one address.
type machine struct {
	name   string
	book   *ledger
	server *httptest.Server
	// dated has its workers say when they started: they may start again under their id.
	dated bool

	mu       sync.Mutex
	lives    int
	ids      int // how many ids its workers have had
	worker   *wireworker.Worker
	sequence int64
	downTill time.Time
	silent   chan struct{} // closed once the worker answers again; nil while it does
}

func newMachine(name string, dated bool, book *ledger) *machine {
	made := &machine{name: name, dated: dated, book: book}
	made.live(nil)
	made.server = httptest.NewServer(made)
	return made
}

// address is where the worker is called.
func (machine *machine) address() string { return strings.TrimPrefix(machine.server.URL, "http://") }

// live begins the next life, with the lock held or before anyone knows of the machine: one that was made
// under the id of the life before, or nil for one with an id of its own.
func (machine *machine) live(worker *wireworker.Worker) {
	machine.lives++
	machine.sequence = 0
	if worker == nil {
		machine.ids++
		worker = machine.anotherWorker()
	}
	life := machine.lifeName()
	worker.OnChange(func(change wireworker.Change) {
		machine.book.note(life, change)
		if change.Kind == wireworker.Started {
			machine.endLater(worker, change)
		}
	})
	machine.worker = worker
}

func (machine *machine) anotherWorker() *wireworker.Worker {
	if machine.dated {
		return wireworker.NewWithStartTime(machine.id(), clockwork.NewRealClock())
	}
	return wireworker.New(machine.id(), clockwork.NewRealClock())
}

// id is what the present worker calls itself.
func (machine *machine) id() string { return fmt.Sprintf("%s-id-%d", machine.name, machine.ids) }

// lifeName names the present life in the ledger.
func (machine *machine) lifeName() string {
	return fmt.Sprintf("%s-life-%d", machine.name, machine.lives)
}

// endLater has a run end once it has worked.
func (machine *machine) endLater(worker *wireworker.Worker, begun wireworker.Change) {
	how := "done"
	if rand.Float64() < failShare {
		how = "failed"
	}
	work := workLeast + rand.N(workMost-workLeast)
	time.AfterFunc(work, func() {
		machine.mu.Lock()
		lives := machine.worker == worker
		machine.mu.Unlock()
		if lives {
			worker.EndAttempt(begun.Task, begun.Attempt, how)
		}
	})
}

// current returns the life that stands there, nil while none does.
func (machine *machine) current() *wireworker.Worker {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if time.Now().Before(machine.downTill) {
		return nil
	}
	return machine.worker
}

// ServeHTTP is the worker's address.
func (machine *machine) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	machine.mu.Lock()
	silent, arrivedAt := machine.silent, machine.lives
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
	worker := machine.current()
	if worker == nil || silent != nil && machine.livesSince(arrivedAt) {
		// What a process held up ends with it.
		panic(http.ErrAbortHandler)
	}
	worker.ServeHTTP(answer, request)
}

// livesSince reports whether another life has begun since there were so many.
func (machine *machine) livesSince(lives int) bool {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	return machine.lives != lives
}

// crash ends the present life; the next one, with an id of its own, stands there after a while.
func (machine *machine) crash(away time.Duration) {
	machine.end(away, func(over *wireworker.Worker) *wireworker.Worker {
		over.Stop()
		return nil
	})
}

// startAgain is crash for a worker that starts again under its id, if it is one that says when it started.
func (machine *machine) startAgain(away time.Duration) {
	if !machine.dated {
		machine.crash(away)
		return
	}
	machine.end(away, (*wireworker.Worker).Restart)
}

func (machine *machine) end(away time.Duration, next func(over *wireworker.Worker) *wireworker.Worker) {
	machine.mu.Lock()
	machine.downTill = time.Now().Add(away)
	over := machine.lifeName()
	machine.live(next(machine.worker))
	machine.mu.Unlock()
	machine.server.CloseClientConnections()
	machine.book.crash(over)
}

// hang has the worker answer nothing until what it returns is called.
func (machine *machine) hang() (goOn func()) {
	machine.mu.Lock()
	defer machine.mu.Unlock()
	silent := make(chan struct{})
	machine.silent = silent
	return func() {
		machine.mu.Lock()
		defer machine.mu.Unlock()
		if machine.silent == silent {
			machine.silent = nil
		}
		close(silent)
	}
}

// run sends heartbeats to the agent and looks at the lease until ctx ends.
func (machine *machine) run(ctx context.Context, control string) {
	beats, lapses := time.NewTicker(beatEvery), time.NewTicker(lapseEvery)
	defer beats.Stop()
	defer lapses.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beats.C:
			go machine.beat(ctx, control)
		case <-lapses.C:
			if worker := machine.current(); worker != nil {
				worker.RunningCount()
			}
		}
	}
}

func (machine *machine) beat(ctx context.Context, control string) {
	machine.mu.Lock()
	machine.sequence++
	id, sequence, down := machine.id(), machine.sequence, time.Now().Before(machine.downTill)
	born := ""
	if machine.dated {
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
