package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"ambertiller.example/ambertiller/worker"
)

const (
	stepTime     = 20 * time.Millisecond
	watchEvery   = 5 // steps between two outputs of a watch
	outputsKept  = 10_000
	defaultTime  = 500 * time.Millisecond
	failureInput = "fail"
	// watchClass marks a task that streams until it is cancelled.
	watchClass = "watch"
)

// WorkerOptions sets up a stand-in worker.
type WorkerOptions struct {
	Name     string
	Capacity worker.Capacity
	// WatchKinds are the kinds whose tasks stream until they are cancelled.
	WatchKinds []string
	// Observe is told of every begin and end of an attempt, in order. It may be
	// nil.
	Observe func(Observation)
	// IgnoreLeases breaks the worker on purpose: it runs on without a lease.
	IgnoreLeases bool
}

// Observation is the begin or end of an attempt on a worker.
type Observation struct {
	Worker  string
	Task    string
	Attempt uint64
	Ended   bool
	// Progress is how much of the task had been done.
	Progress time.Duration
}

// Worker is a stand-in for one worker: it runs tasks under leases. A task
// takes its declared run time; input "fail" makes it fail.
type Worker struct {
	options WorkerOptions

	mu        sync.Mutex
	uptime    time.Duration
	tasks     map[string]*running
	newest    map[string]uint64
	failStart bool
	started   []Run
}

// Run is one attempt that the worker has begun, and its end if it has one.
type Run struct {
	Task    string
	Attempt uint64
	Began   time.Time
	Ended   time.Time
}

type running struct {
	worker.Task
	progress time.Duration
	sequence uint64
	outputs  []worker.Output
	grown    chan struct{}
	run      int
	throttle float64
}

// checkpoint is what a stopped attempt hands to the next one.
type checkpoint struct {
	Progress time.Duration `json:"progress"`
	Sequence uint64        `json:"sequence"`
}

// NewWorker returns a worker that runs nothing. Run makes its time pass.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{options: options, tasks: map[string]*running{}, newest: map[string]uint64{}}
}

// FailStarts makes every start fail, or no longer.
func (fake *Worker) FailStarts(fail bool) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.failStart = fail
}

// Runs returns every attempt the worker has begun, oldest first.
func (fake *Worker) Runs() []Run {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return slices.Clone(fake.started)
}

// Run makes time pass until ctx ends.
func (fake *Worker) Run(ctx context.Context) {
	ticker := time.NewTicker(stepTime)
	defer ticker.Stop()
	before := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			fake.Step(now, now.Sub(before))
			before = now
		}
	}
}

// Step lets a span of time pass for every attempt.
func (fake *Worker) Step(now time.Time, span time.Duration) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.uptime += span
	for _, each := range fake.tasks {
		fake.step(each, now, span)
	}
}

func (fake *Worker) step(each *running, now time.Time, span time.Duration) {
	switch each.Phase {
	case worker.Stopping:
		fake.end(each, worker.Stopped, "stopped", now)
		return
	case worker.Running:
	default:
		return
	}
	if fake.uptime >= each.LeaseEnd && !fake.options.IgnoreLeases {
		fake.end(each, worker.Lapsed, "its lease ended", now)
		return
	}
	each.progress += time.Duration(float64(span) * each.throttle)
	if slices.Contains(fake.options.WatchKinds, each.Kind) || each.Kind == watchClass {
		fake.emit(each)
		return
	}
	if each.progress < each.RunTime {
		return
	}
	if string(each.Input) == failureInput {
		fake.end(each, worker.Failed, "the task failed, as its input asked", now)
		return
	}
	each.Result = fmt.Appendf(nil, "%s of %q by %s, attempt %d", each.Kind, each.Input, fake.options.Name, each.Attempt)
	fake.end(each, worker.Finished, "finished", now)
}

func (fake *Worker) emit(each *running) {
	if each.progress < time.Duration(each.sequence+1)*watchEvery*stepTime {
		return
	}
	each.sequence++
	each.outputs = append(each.outputs, worker.Output{
		Attempt:  each.Attempt,
		Sequence: each.sequence,
		Data:     fmt.Appendf(nil, "%s heard %q, part %d", fake.options.Name, each.Input, each.sequence),
	})
	if len(each.outputs) > outputsKept {
		each.outputs = each.outputs[1:]
	}
	close(each.grown)
	each.grown = make(chan struct{})
}

func (fake *Worker) end(each *running, phase worker.Phase, reason string, now time.Time) {
	each.Phase = phase
	each.Reason = reason
	fake.started[each.run].Ended = now
	fake.observe(each, true)
	if phase == worker.Stopped || phase == worker.Lapsed {
		// A checkpoint is a small JSON value; encoding it cannot fail.
		each.Checkpoint, _ = json.Marshal(checkpoint{Progress: each.progress, Sequence: each.sequence})
	}
	close(each.grown)
	each.grown = make(chan struct{})
}

// start begins an attempt, or says why not: stale or an error in words.
func (fake *Worker) start(start worker.StartRequest, now time.Time) (stale bool, failure string) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if start.Attempt <= fake.newest[start.Task] {
		return true, ""
	}
	if fake.uptime >= start.LeaseEnd {
		return true, ""
	}
	if fake.failStart {
		return false, "this worker fails every start"
	}
	if before, found := fake.tasks[start.Task]; found && !ended(before.Phase) {
		return false, "an earlier attempt still runs"
	}
	fake.newest[start.Task] = start.Attempt
	var from checkpoint
	if len(start.Checkpoint) > 0 {
		if err := json.Unmarshal(start.Checkpoint, &from); err != nil {
			return false, "the checkpoint can't be read"
		}
	}
	if start.RunTime == 0 {
		start.RunTime = defaultTime
	}
	fake.started = append(fake.started, Run{Task: start.Task, Attempt: start.Attempt, Began: now})
	fake.tasks[start.Task] = &running{
		Task:     worker.Task{StartRequest: start, Phase: worker.Running},
		progress: from.Progress,
		sequence: from.Sequence,
		grown:    make(chan struct{}),
		run:      len(fake.started) - 1,
		throttle: 1,
	}
	fake.observe(fake.tasks[start.Task], false)
	return false, ""
}

func (fake *Worker) observe(each *running, over bool) {
	if fake.options.Observe == nil {
		return
	}
	fake.options.Observe(Observation{
		Worker: fake.options.Name, Task: each.Task.Task, Attempt: each.Attempt, Ended: over, Progress: each.progress,
	})
}

func stopRunning(each *running) {
	if each.Phase == worker.Running {
		each.Phase = worker.Stopping
	}
}

// forgetEnded drops an attempt that has ended; the worker's lock is held.
func (fake *Worker) forgetEnded(each *running) {
	if ended(each.Phase) {
		delete(fake.tasks, each.Task.Task)
	}
}

func (fake *Worker) renew(renewals []worker.Renewal) {
	for _, renewal := range renewals {
		fake.withAttempt(renewal.Task, renewal.Attempt, func(each *running) {
			each.LeaseEnd = max(each.LeaseEnd, renewal.LeaseEnd)
		})
	}
}

func ended(phase worker.Phase) bool {
	return phase != worker.Running && phase != worker.Stopping
}

// withAttempt calls change on the attempt, and reports whether it is the
// newest one.
func (fake *Worker) withAttempt(task string, attempt uint64, change func(each *running)) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	each, found := fake.tasks[task]
	if !found || each.Attempt != attempt {
		return false
	}
	change(each)
	return true
}

func (fake *Worker) list() worker.Listing {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	listing := worker.Listing{Uptime: fake.uptime, Tasks: make([]worker.Task, 0, len(fake.tasks))}
	for _, id := range slices.Sorted(maps.Keys(fake.tasks)) {
		each := fake.tasks[id]
		listed := each.Task
		listed.Throttle = each.throttle
		listing.Tasks = append(listing.Tasks, listed)
	}
	return listing
}

func (fake *Worker) usage() worker.Usage {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	var used worker.Usage
	for _, each := range fake.tasks {
		if each.Phase == worker.Running {
			used.MilliCPU += int64(float64(each.MilliCPU) * each.throttle)
			used.MemoryBytes += each.MemoryBytes
		}
	}
	return used
}

// outputs returns what a watch produced after a sequence number, whether it
// has ended, and a channel that is closed when there is more.
func (fake *Worker) outputs(task string, after uint64) ([]worker.Output, bool, <-chan struct{}) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	each, found := fake.tasks[task]
	if !found {
		return nil, true, nil
	}
	from := slices.IndexFunc(each.outputs, func(output worker.Output) bool { return output.Sequence > after })
	if from < 0 {
		return nil, ended(each.Phase), each.grown
	}
	return slices.Clone(each.outputs[from:]), ended(each.Phase), each.grown
}
