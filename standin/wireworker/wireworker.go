// Package wireworker is an in-memory implementation of a platform worker for tests. It serves the worker's
// HTTP protocol: it starts and stops runs, keeps a lease on its own clock, and lists the ends of runs until a
// poll acknowledges them. A run ends when the test ends it, when it is stopped, or when the lease expires.
//
// A worker from NewWithStartTime reports its start time and can restart under the same ID. A worker from New
// does not report it and needs a new ID for each incarnation.
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

// Fault is a fault that is injected into an order.
type Fault int

// Faults that can be injected into an order. FaultLostResponse and FaultDelayed apply to starts only;
// FaultReset applies to every call.
const (
	FaultNone         Fault = iota
	FaultLostResponse       // carry out the order, then close the connection without a response
	FaultReset              // close the connection without carrying out the order
	FaultDelayed            // close the connection; ExecuteDelayedStarts carries out the order later
)

// Start is a start order as received. Stop orders use the same body.
type Start struct {
	Task         string `json:"task"`
	Attempt      int32  `json:"attempt"`
	DeadlineMs   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
}

// fullPacePercent is the pace of a run that has not been slowed.
const fullPacePercent = 100

// run is a task that the worker is running.
type run struct {
	attempt         int32
	checkpoint      string
	reading         int64 // CPU usage in thousandths of a core
	progressPercent int32
	pacePercent     int32
}

// end is the end of a run, listed until it is acknowledged.
type end struct {
	number  int64
	task    string
	attempt int32
	reason  string
	// leaseExpirations is how often the lease had expired when the run ended.
	leaseExpirations int
}

// Worker is an in-memory worker. It is an http.Handler and safe for concurrent use.
type Worker struct {
	incarnation string
	clock       clockwork.Clock

	// startTime is when this incarnation started, in milliseconds since the Unix epoch; 0 if it is not
	// reported.
	startTime int64

	mu              sync.Mutex
	stopped         bool // this incarnation has ended and responds to nothing
	startedAt       time.Time
	running         map[string]*run
	highestAttempts map[string]int32 // highest attempt that has ended, by task
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
	// leaseExpirations counts how often the lease has expired. expiredLeaseEndMs is the end of the last lease
	// that did.
	leaseExpirations  int
	expiredLeaseEndMs int64
	onChange          func(change Change)
}

// New returns a worker without runs that does not report its start time.
func New(incarnation string, clock clockwork.Clock) *Worker {
	return &Worker{
		incarnation: incarnation, clock: clock, startedAt: clock.Now(),
		running: map[string]*run{}, highestAttempts: map[string]int32{}, changed: make(chan struct{}), onChange: func(Change) {},
	}
}

// NewWithStartTime returns a worker without runs that reports its start time.
func NewWithStartTime(incarnation string, clock clockwork.Clock) *Worker {
	worker := New(incarnation, clock)
	worker.startTime = clock.Now().UnixMilli()
	return worker
}

// ID returns the ID of the worker, which calls must state.
func (worker *Worker) ID() string { return worker.incarnation }

// StartTime returns when this incarnation started, in milliseconds since the Unix epoch; 0 if it is not
// reported.
func (worker *Worker) StartTime() int64 { return worker.startTime }

// Restart ends this incarnation and returns the next one, which has the same ID and a later start time. Runs,
// ends and the lease are lost. Delayed starts are not: the new incarnation can still carry them out.
func (worker *Worker) Restart() *Worker {
	next := NewWithStartTime(worker.incarnation, worker.clock)
	next.startTime = max(next.startTime, worker.startTime+1)
	worker.Stop()
	worker.mu.Lock()
	defer worker.mu.Unlock()
	next.delayedStarts, worker.delayedStarts = worker.delayedStarts, nil
	return next
}

// Stop ends this incarnation. It closes the connection of every later call and reports no more changes.
func (worker *Worker) Stop() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.stopped = true
	worker.onChange = func(Change) {}
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// InjectFaults makes fault choose the fault of every later call. Its argument is the path of the call.
func (worker *Worker) InjectFaults(fault func(path string) Fault) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.fault = fault
}

// RaiseFencingToken raises the lowest token that the worker accepts, as if a lease holder whose clock is ahead
// by offset had given orders. Tokens are in milliseconds.
func (worker *Worker) RaiseFencingToken(offset time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.fencingToken += offset.Milliseconds()
}

// Running reports whether a task runs, and under which attempt.
func (worker *Worker) Running(task string) (int32, bool) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
	if run, found := worker.running[task]; found {
		return run.attempt, true
	}
	return 0, false
}

// Starts returns the starts that were carried out, oldest first.
func (worker *Worker) Starts() []Start {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return append([]Start(nil), worker.starts...)
}

// Polls returns the number of accepted polls and the number of the last end that a poll acknowledged.
func (worker *Worker) Polls() (count int, acknowledgedEnd int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return worker.polls, worker.acknowledgedEnd
}

// LeaseEnd returns when the lease, and with it every run, ends on the worker's clock.
func (worker *Worker) LeaseEnd() time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return time.Duration(worker.leaseEndMs) * time.Millisecond
}

// Clock returns the reading of the worker's clock.
func (worker *Worker) Clock() time.Duration {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return time.Duration(worker.clockMs()) * time.Millisecond
}

// AddRun adds a run of a task without an order and extends the lease to at least the given time from now.
func (worker *Worker) AddRun(task string, attempt int32, lease time.Duration) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.running[task] = &run{attempt: attempt, pacePercent: fullPacePercent}
	worker.renewLease(worker.clockMs() + lease.Milliseconds())
}

// SetProgress sets the progress that a run reports, in percent.
func (worker *Worker) SetProgress(task string, percent int32) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if run, found := worker.running[task]; found {
		run.progressPercent = percent
	}
}

// SetPace sets the pace of a run in percent and the CPU usage that it reports in thousandths of a core.
func (worker *Worker) SetPace(task string, percent int32, milliCPU int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if run, found := worker.running[task]; found {
		run.pacePercent, run.reading = percent, milliCPU
	}
}

// Pace returns the pace of a run in percent, or 0 if the task is not running.
func (worker *Worker) Pace(task string) int32 {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if run, found := worker.running[task]; found {
		return run.pacePercent
	}
	return 0
}

// SetLastEndNumber sets the number of the last end. Later ends are numbered from the next number on, as if the
// earlier ones had been acknowledged.
func (worker *Worker) SetLastEndNumber(last int64) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.lastEndNumber = last
}

// End ends the run of a task, if there is one, for the given reason.
func (worker *Worker) End(task, reason string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.endRun(task, reason)
}

// EndAttempt ends the run of a task if it has the given attempt.
func (worker *Worker) EndAttempt(task string, attempt int32, reason string) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
	if run, found := worker.running[task]; found && run.attempt == attempt {
		worker.endRun(task, reason)
	}
}

// endRun ends the run of a task, lists the end and wakes the polls that wait. The lock must be held.
func (worker *Worker) endRun(task, reason string) {
	run, found := worker.running[task]
	if !found {
		return
	}
	delete(worker.running, task)
	worker.highestAttempts[task] = max(worker.highestAttempts[task], run.attempt)
	worker.lastEndNumber++
	worker.ends = append(worker.ends, end{worker.lastEndNumber, task, run.attempt, reason, worker.leaseExpirations})
	worker.onChange(Change{Kind: Ended, Task: task, Attempt: run.attempt, Reason: reason})
	close(worker.changed)
	worker.changed = make(chan struct{})
}

// DelayedStarts returns the number of starts that FaultDelayed holds back.
func (worker *Worker) DelayedStarts() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return len(worker.delayedStarts)
}

// ExecuteDelayedStarts carries out the starts that FaultDelayed held back. Those that are no longer valid are
// dropped.
func (worker *Worker) ExecuteDelayedStarts() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for _, start := range worker.delayedStarts {
		worker.startRun(start)
	}
	worker.delayedStarts = nil
}

// initialClockMs is the reading of a new worker's clock, in milliseconds.
const initialClockMs = 1000

// clockMs returns the reading of the worker's clock in milliseconds.
func (worker *Worker) clockMs() int64 {
	return worker.clock.Now().Sub(worker.startedAt).Milliseconds() + initialClockMs
}

// expireLease ends all runs if the lease has expired. The lock must be held.
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

// startRun carries out a start. It returns the reason if the start is rejected, and "" otherwise. A repeated
// start of a run that is still running is accepted. The lock must be held.
func (worker *Worker) startRun(order Start) string {
	worker.expireLease()
	current, found := worker.running[order.Task]
	switch {
	case worker.stopped:
		return "over"
	case order.FencingToken < worker.fencingToken:
		return "fence"
	case order.DeadlineMs <= worker.clockMs():
		return "late"
	case found && current.attempt == order.Attempt:
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
