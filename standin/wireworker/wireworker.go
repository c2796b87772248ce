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
	FaultNone         Fault = iota
	FaultLostResponse       // carried out, and the connection broken off
	FaultReset              // not carried out, and the connection broken off
	FaultDelayed            // the connection broken off; carried out by CarryOut
)

// Start is a start as it arrived.
type Start struct {
	Task         string `json:"task"`
	Attempt      int32  `json:"attempt"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
}

// fullPacePercent is the pace, in percent, of a run that was not slowed.
const fullPacePercent = 100

type run struct {
	attempt         int32
	checkpoint      string
	reading         int64
	progressPercent int32
	pacePercent     int32
}

type end struct {
	number  int64
	task    string
	attempt int32
	reason  string
	// leaseExpirations is how often the lease had run out when the run ended.
	leaseExpirations int
}

// Worker is the stand-in. It is an http.Handler.
type Worker struct {
	incarnation string
	clock       clockwork.Clock

	// startTime is when this life began, in milliseconds since 1970; 0 for a worker that doesn't say it.
	startTime int64

	mu              sync.Mutex
	stopped         bool // the life has ended: nothing is answered
	startedAt       time.Time
	running         map[string]*run
	highestAttempts map[string]int32 // attempts that ended or were stopped
	ends            []end
	lastEndNumber   int64
	leaseEndMs      int64
	fencingToken    int64
	fault           func(path string) Fault
	delayedStarts   []Start
	starts          []Start
	polls           int
	acknowledgedEnd int64
	changed         chan struct{}
	// leaseExpirations counts how often the lease has run out, lapsedAt is the last deadline that did.
	leaseExpirations  int
	expiredLeaseEndMs int64
	onChange          func(change Change)
}

// New returns a worker that runs nothing.
func New(incarnation string, clocks clockwork.Clock) *Worker {
	return &Worker{
		incarnation: incarnation, clock: clocks, startedAt: clocks.Now(),
		running: map[string]*run{}, highestAttempts: map[string]int32{}, changed: make(chan struct{}), onChange: func(Change) {},
	}
}

// NewWithStartTime returns a worker that runs nothing and says when it started.
func NewWithStartTime(incarnation string, clocks clockwork.Clock) *Worker {
	made := New(incarnation, clocks)
	made.startTime = clocks.Now().UnixMilli()
	return made
}

// ID returns what the worker calls itself.
func (worker *Worker) ID() string { return worker.incarnation }

// StartTime returns when this life began, in milliseconds since 1970; 0 for a worker that doesn't say it.
func (worker *Worker) StartTime() int64 { return worker.startTime }

// Restart ends this life and returns the next one under the same id. Of what this one knew it has
// nothing; orders that were late may still be carried out there.
func (worker *Worker) Restart() *Worker {
	next := NewWithStartTime(worker.incarnation, worker.clock)
	next.startTime = max(next.startTime, worker.startTime+1)
	worker.Stop()
	worker.mu.Lock()
	defer worker.mu.Unlock()
	next.delayedStarts, worker.delayedStarts = worker.delayedStarts, nil
	return next
}

// Stop ends this life: it answers nothing any more, and nothing is noted of it.
func (worker *Worker) Stop() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.stopped = true
	worker.onChange = func(Change) {}
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// InjectFaults has fault decide what befalls each call from here on.
func (worker *Worker) InjectFaults(fault func(path string) Fault) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.fault = fault
}

// RaiseFencingToken has the worker obey no token of the present moment any more, as after orders
// of a holder whose clock is ahead by so much.
func (worker *Worker) RaiseFencingToken(ahead time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.fencingToken += ahead.Milliseconds()
}

// Running reports whether a task runs, and under which attempt.
func (worker *Worker) Running(task string) (int32, bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
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

// Polls returns how often the worker was asked what runs, and the number of the
// last end that it was told to forget.
func (worker *Worker) Polls() (count int, seen int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.polls, worker.acknowledgedEnd
}

// LeaseEnd returns when everything ends, on the worker's clock.
func (worker *Worker) LeaseEnd() time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return time.Duration(worker.leaseEndMs) * time.Millisecond
}

// Clock returns the worker's clock.
func (worker *Worker) Clock() time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return time.Duration(worker.clockMs()) * time.Millisecond
}

// AddRun has a task run that nobody ordered in this test, with a lease.
func (worker *Worker) AddRun(task string, attempt int32, lease time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.running[task] = &run{attempt: attempt, pacePercent: fullPacePercent}
	worker.renewLease(worker.clockMs() + lease.Milliseconds())
}

// SetProgress sets the percent that a run shows.
func (worker *Worker) SetProgress(task string, percent int32) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[task]; found {
		known.progressPercent = percent
	}
}

// SetPace has a run go at a pace in percent, and use so much of the processors.
func (worker *Worker) SetPace(task string, percent int32, milliCPU int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[task]; found {
		known.pacePercent, known.reading = percent, milliCPU
	}
}

// Pace returns the pace of a run in percent, 0 if it does not run.
func (worker *Worker) Pace(task string) int32 {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[task]; found {
		return known.pacePercent
	}
	return 0
}

// SetLastEndNumber has ends counted from a number on, as if earlier ones were forgotten.
func (worker *Worker) SetLastEndNumber(last int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.lastEndNumber = last
}

// End ends a run.
func (worker *Worker) End(task, how string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.endRun(task, how)
}

// EndAttempt ends a run if it is still the one that runs of its task.
func (worker *Worker) EndAttempt(task string, attempt int32, how string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
	if known, found := worker.running[task]; found && known.attempt == attempt {
		worker.endRun(task, how)
	}
}

func (worker *Worker) endRun(task, how string) {
	known, found := worker.running[task]
	if !found {
		return
	}
	delete(worker.running, task)
	worker.highestAttempts[task] = max(worker.highestAttempts[task], known.attempt)
	worker.lastEndNumber++
	worker.ends = append(worker.ends, end{worker.lastEndNumber, task, known.attempt, how, worker.leaseExpirations})
	worker.onChange(Change{Kind: Ended, Task: task, Attempt: known.attempt, Reason: how})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// ExecuteDelayedStarts carries out the orders that were late.
func (worker *Worker) ExecuteDelayedStarts() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for _, start := range worker.delayedStarts {
		worker.startRun(start)
	}
	worker.delayedStarts = nil
}

// initialClockMs is what the worker's clock shows at its start, in milliseconds.
const initialClockMs = 1000

func (worker *Worker) clockMs() int64 {
	return worker.clock.Now().Sub(worker.startedAt).Milliseconds() + initialClockMs
}

func (worker *Worker) expireLease() {
	if worker.clockMs() < worker.leaseEndMs {
		return
	}
	if worker.leaseEndMs > worker.expiredLeaseEndMs {
		worker.expiredLeaseEndMs = worker.leaseEndMs
		worker.leaseExpirations++
	}
	for task := range worker.running {
		worker.endRun(task, "lapsed")
	}
}

// startRun carries out a start and returns why it does not.
func (worker *Worker) startRun(order Start) string {
	worker.expireLease()
	known, found := worker.running[order.Task]
	switch {
	case worker.stopped:
		return "over"
	case order.FencingToken < worker.fencingToken:
		return "fence"
	case order.DeadlineMs <= worker.clockMs():
		return "late"
	case found && known.attempt == order.Attempt:
		return ""
	case found || order.Attempt <= worker.highestAttempts[order.Task]:
		return "old"
	}
	worker.fencingToken = order.FencingToken
	worker.renewLease(order.DeadlineMs)
	worker.running[order.Task] = &run{attempt: order.Attempt, checkpoint: order.Checkpoint, pacePercent: fullPacePercent}
	worker.starts = append(worker.starts, order)
	worker.onChange(Change{Kind: Started, Task: order.Task, Attempt: order.Attempt})
	return ""
}
