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
	stepInterval   = 20 * time.Millisecond
	stepsPerOutput = 5 // steps between two outputs of a watch
	maxOutputs     = 10_000
	defaultRunTime = 500 * time.Millisecond
	failureInput   = "fail"
	// watchKind marks a task that streams until it is cancelled.
	watchKind = "watch"
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

	mu             sync.Mutex
	uptime         time.Duration
	tasks          map[string]*taskState
	newestAttempts map[string]uint64
	failStarts     bool
	runs           []Run
}

// Run is one attempt that the worker has begun, and its end if it has one.
type Run struct {
	Task      string
	Attempt   uint64
	StartedAt time.Time
	EndedAt   time.Time
}

type taskState struct {
	worker.Task
	progress time.Duration
	sequence uint64
	outputs  []worker.Output
	changed  chan struct{}
	runIndex int
	throttle float64
}

// checkpoint is what a stopped attempt hands to the next one.
type checkpoint struct {
	Progress time.Duration `json:"progress"`
	Sequence uint64        `json:"sequence"`
}

// NewWorker returns a worker that runs nothing. Run makes its time pass.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{options: options, tasks: map[string]*taskState{}, newestAttempts: map[string]uint64{}}
}

// FailStarts makes every start fail, or no longer.
func (fake *Worker) FailStarts(fail bool) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.failStarts = fail
}

// Runs returns every attempt the worker has begun, oldest first.
func (fake *Worker) Runs() []Run {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return slices.Clone(fake.runs)
}

// Run makes time pass until ctx ends.
func (fake *Worker) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
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
		fake.stepTask(each, now, span)
	}
}

func (fake *Worker) stepTask(each *taskState, now time.Time, span time.Duration) {
	switch each.Phase {
	case worker.Stopping:
		fake.endTask(each, worker.Stopped, "stopped", now)
		return
	case worker.Running:
	default:
		return
	}
	if fake.uptime >= each.LeaseEnd && !fake.options.IgnoreLeases {
		fake.endTask(each, worker.Lapsed, "its lease ended", now)
		return
	}
	each.progress += time.Duration(float64(span) * each.throttle)
	if slices.Contains(fake.options.WatchKinds, each.Kind) || each.Kind == watchKind {
		fake.emitOutput(each)
		return
	}
	if each.progress < each.RunTime {
		return
	}
	if string(each.Input) == failureInput {
		fake.endTask(each, worker.Failed, "the task failed, as its input asked", now)
		return
	}
	each.Result = fmt.Appendf(nil, "%s of %q by %s, attempt %d", each.Kind, each.Input, fake.options.Name, each.Attempt)
	fake.endTask(each, worker.Finished, "finished", now)
}

func (fake *Worker) emitOutput(each *taskState) {
	if each.progress < time.Duration(each.sequence+1)*stepsPerOutput*stepInterval {
		return
	}
	each.sequence++
	each.outputs = append(each.outputs, worker.Output{
		Attempt:  each.Attempt,
		Sequence: each.sequence,
		Data:     fmt.Appendf(nil, "%s heard %q, part %d", fake.options.Name, each.Input, each.sequence),
	})
	if len(each.outputs) > maxOutputs {
		each.outputs = each.outputs[1:]
	}
	close(each.changed)
	each.changed = make(chan struct{})
}

func (fake *Worker) endTask(each *taskState, phase worker.Phase, reason string, now time.Time) {
	each.Phase = phase
	each.Reason = reason
	fake.runs[each.runIndex].EndedAt = now
	fake.notifyObserver(each, true)
	if phase == worker.Stopped || phase == worker.Lapsed {
		// A checkpoint is a small JSON value; encoding it cannot fail.
		each.Checkpoint, _ = json.Marshal(checkpoint{Progress: each.progress, Sequence: each.sequence})
	}
	close(each.changed)
	each.changed = make(chan struct{})
}

// startTask begins an attempt, or says why not: stale or an error in words.
func (fake *Worker) startTask(start worker.StartRequest, now time.Time) (stale bool, failure string) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if start.Attempt <= fake.newestAttempts[start.Task] {
		return true, ""
	}
	if fake.uptime >= start.LeaseEnd {
		return true, ""
	}
	if fake.failStarts {
		return false, "this worker fails every start"
	}
	if before, found := fake.tasks[start.Task]; found && !hasEnded(before.Phase) {
		return false, "an earlier attempt still runs"
	}
	fake.newestAttempts[start.Task] = start.Attempt
	var from checkpoint
	if len(start.Checkpoint) > 0 {
		if err := json.Unmarshal(start.Checkpoint, &from); err != nil {
			return false, "the checkpoint can't be read"
		}
	}
	if start.RunTime == 0 {
		start.RunTime = defaultRunTime
	}
	fake.runs = append(fake.runs, Run{Task: start.Task, Attempt: start.Attempt, StartedAt: now})
	fake.tasks[start.Task] = &taskState{
		Task:     worker.Task{StartRequest: start, Phase: worker.Running},
		progress: from.Progress,
		sequence: from.Sequence,
		changed:  make(chan struct{}),
		runIndex: len(fake.runs) - 1,
		throttle: 1,
	}
	fake.notifyObserver(fake.tasks[start.Task], false)
	return false, ""
}

func (fake *Worker) notifyObserver(each *taskState, over bool) {
	if fake.options.Observe == nil {
		return
	}
	fake.options.Observe(Observation{
		Worker: fake.options.Name, Task: each.Task.Task, Attempt: each.Attempt, Ended: over, Progress: each.progress,
	})
}

func requestStop(each *taskState) {
	if each.Phase == worker.Running {
		each.Phase = worker.Stopping
	}
}

// removeEnded drops an attempt that has ended; the worker's lock is held.
func (fake *Worker) removeEnded(each *taskState) {
	if hasEnded(each.Phase) {
		delete(fake.tasks, each.Task.Task)
	}
}

func (fake *Worker) renewLeases(renewals []worker.Renewal) {
	for _, renewal := range renewals {
		fake.updateAttempt(renewal.Task, renewal.Attempt, func(each *taskState) {
			each.LeaseEnd = max(each.LeaseEnd, renewal.LeaseEnd)
		})
	}
}

func hasEnded(phase worker.Phase) bool {
	return phase != worker.Running && phase != worker.Stopping
}

// updateAttempt calls change on the attempt, and reports whether it is the
// newest one.
func (fake *Worker) updateAttempt(task string, attempt uint64, change func(each *taskState)) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	each, found := fake.tasks[task]
	if !found || each.Attempt != attempt {
		return false
	}
	change(each)
	return true
}

func (fake *Worker) listTasks() worker.Listing {
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
		return nil, hasEnded(each.Phase), each.changed
	}
	return slices.Clone(each.outputs[from:]), hasEnded(each.Phase), each.changed
}
