// Package wireworker is a small stand-in for a worker of the users' platform: it
// takes starts, stops and looks over HTTP, keeps a lease on its own clock, and
// lists ends until it is told that they have been seen. It is for tests. Runs
// end when the test says so, or when the lease does. A worker that says when it started may start
// again under its id; one that doesn't has a new id in each life.
//
// # Usage
//
//	worker := wireworker.New("i-1", clock)
//	server := httptest.NewServer(worker)
//	worker.End("0123456789abcdef.0.0.0", "done")
package wireworker

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Fault is what befalls one order.
type Fault int

// The faults of an order.
const (
	FaultNone  Fault = iota
	FaultLost        // carried out, and the connection broken off
	FaultReset       // not carried out, and the connection broken off
	FaultLate        // the connection broken off; carried out by CarryOut
)

// Start is a start as it arrived.
type Start struct {
	Task         string `json:"task"`
	Attempt      int32  `json:"attempt"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
}

// fullPace is the pace, in percent, of a run that was not slowed.
const fullPace = 100

type run struct {
	attempt    int32
	checkpoint string
	figure     int64
	percent    int32
	pace       int32
}

type end struct {
	number  int64
	task    string
	attempt int32
	how     string
	// lapses is how often the lease had run out when the run ended.
	lapses int
}

// Worker is the stand-in. It is an http.Handler.
type Worker struct {
	incarnation string
	clocks      clockwork.Clock

	// born is when this life began, in milliseconds since 1970; 0 for a worker that doesn't say it.
	born int64

	mu       sync.Mutex
	over     bool // the life has ended: nothing is answered
	began    time.Time
	running  map[string]*run
	highest  map[string]int32 // attempts that ended or were stopped
	ends     []end
	numbered int64
	deadline int64
	token    int64
	fault    func(path string) Fault
	late     []Start
	starts   []Start
	looks    int
	seen     int64
	changed  chan struct{}
	// lapses counts how often the lease has run out, lapsedAt is the last deadline that did.
	lapses   int
	lapsedAt int64
	watch    func(change Change)
}

// New returns a worker that runs nothing.
func New(incarnation string, clocks clockwork.Clock) *Worker {
	return &Worker{
		incarnation: incarnation, clocks: clocks, began: clocks.Now(),
		running: map[string]*run{}, highest: map[string]int32{}, changed: make(chan struct{}), watch: func(Change) {},
	}
}

// NewDated returns a worker that runs nothing and says when it started.
func NewDated(incarnation string, clocks clockwork.Clock) *Worker {
	made := New(incarnation, clocks)
	made.born = clocks.Now().UnixMilli()
	return made
}

// ID returns what the worker calls itself.
func (worker *Worker) ID() string { return worker.incarnation }

// Born returns when this life began, in milliseconds since 1970; 0 for a worker that doesn't say it.
func (worker *Worker) Born() int64 { return worker.born }

// StartAgain ends this life and returns the next one under the same id. Of what this one knew it has
// nothing; orders that were late may still be carried out there.
func (worker *Worker) StartAgain() *Worker {
	next := NewDated(worker.incarnation, worker.clocks)
	next.born = max(next.born, worker.born+1)
	worker.Stop()
	worker.mu.Lock()
	defer worker.mu.Unlock()
	next.late, worker.late = worker.late, nil
	return next
}

// Stop ends this life: it answers nothing any more, and nothing is noted of it.
func (worker *Worker) Stop() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.over = true
	worker.watch = func(Change) {}
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// Fail has fault decide what befalls each call from here on.
func (worker *Worker) Fail(fault func(path string) Fault) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.fault = fault
}

// RaiseToken has the worker obey no token of the present moment any more, as after orders
// of a holder whose clock is ahead by so much.
func (worker *Worker) RaiseToken(ahead time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.token += ahead.Milliseconds()
}

// Running reports whether a task runs, and under which attempt.
func (worker *Worker) Running(task string) (int32, bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.lapse()
	if known, found := worker.running[task]; found {
		return known.attempt, true
	}
	return 0, false
}

// Starts returns the starts that were carried out.
func (worker *Worker) Starts() []Start {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return append([]Start(nil), worker.starts...)
}

// Looks returns how often the worker was asked what runs, and the number of the
// last end that it was told to forget.
func (worker *Worker) Looks() (count int, seen int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.looks, worker.seen
}

// LeaseEnd returns when everything ends, on the worker's clock.
func (worker *Worker) LeaseEnd() time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return time.Duration(worker.deadline) * time.Millisecond
}

// Clock returns the worker's clock.
func (worker *Worker) Clock() time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return time.Duration(worker.clock()) * time.Millisecond
}

// Put has a task run that nobody ordered in this test, with a lease.
func (worker *Worker) Put(task string, attempt int32, lease time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.running[task] = &run{attempt: attempt, pace: fullPace}
	worker.renew(worker.clock() + lease.Milliseconds())
}

// Progress sets the percent that a run shows.
func (worker *Worker) Progress(task string, percent int32) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[task]; found {
		known.percent = percent
	}
}

// SetPace has a run go at a pace in percent, and use so much of the processors.
func (worker *Worker) SetPace(task string, percent int32, milliCPU int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[task]; found {
		known.pace, known.figure = percent, milliCPU
	}
}

// Pace returns the pace of a run in percent, 0 if it does not run.
func (worker *Worker) Pace(task string) int32 {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[task]; found {
		return known.pace
	}
	return 0
}

// Number has ends counted from a number on, as if earlier ones were forgotten.
func (worker *Worker) Number(last int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.numbered = last
}

// End ends a run.
func (worker *Worker) End(task, how string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.end(task, how)
}

// EndRun ends a run if it is still the one that runs of its task.
func (worker *Worker) EndRun(task string, attempt int32, how string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.lapse()
	if known, found := worker.running[task]; found && known.attempt == attempt {
		worker.end(task, how)
	}
}

func (worker *Worker) end(task, how string) {
	known, found := worker.running[task]
	if !found {
		return
	}
	delete(worker.running, task)
	worker.highest[task] = max(worker.highest[task], known.attempt)
	worker.numbered++
	worker.ends = append(worker.ends, end{worker.numbered, task, known.attempt, how, worker.lapses})
	worker.watch(Change{Kind: Ended, Task: task, Attempt: known.attempt, How: how})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// CarryOut carries out the orders that were late.
func (worker *Worker) CarryOut() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for _, start := range worker.late {
		worker.start(start)
	}
	worker.late = nil
}

// clockBegins is what the worker's clock shows at its start, in milliseconds.
const clockBegins = 1000

func (worker *Worker) clock() int64 {
	return worker.clocks.Now().Sub(worker.began).Milliseconds() + clockBegins
}

func (worker *Worker) lapse() {
	if worker.clock() < worker.deadline {
		return
	}
	if worker.deadline > worker.lapsedAt {
		worker.lapsedAt = worker.deadline
		worker.lapses++
	}
	for task := range worker.running {
		worker.end(task, "lapsed")
	}
}

// start carries out a start and returns why it does not.
func (worker *Worker) start(order Start) string {
	worker.lapse()
	known, found := worker.running[order.Task]
	switch {
	case worker.over:
		return "over"
	case order.FencingToken < worker.token:
		return "fence"
	case order.DeadlineMs <= worker.clock():
		return "late"
	case found && known.attempt == order.Attempt:
		return ""
	case found || order.Attempt <= worker.highest[order.Task]:
		return "old"
	}
	worker.token = order.FencingToken
	worker.renew(order.DeadlineMs)
	worker.running[order.Task] = &run{attempt: order.Attempt, checkpoint: order.Checkpoint, pace: fullPace}
	worker.starts = append(worker.starts, order)
	worker.watch(Change{Kind: Started, Task: order.Task, Attempt: order.Attempt})
	return ""
}
