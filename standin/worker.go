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
	stepsPerOutput = 5                      // steps per output of a watch task
	maxOutputs     = 10_000                 // kept outputs per task; older ones are dropped
	defaultRunTime = 500 * time.Millisecond // of a task that declares none
	failureInput   = "fail"                 // the input of a task that is to fail
	// watchKind is a kind of task that streams until it is cancelled, in addition to WorkerOptions.WatchKinds.
	watchKind = "watch"
)

// WorkerOptions configures a stand-in worker.
type WorkerOptions struct {
	Name     string
	Capacity worker.Capacity
	// WatchKinds are the kinds of tasks that stream until they are cancelled.
	WatchKinds []string
	// Observe is called at the start and at the end of every attempt, in order. It may be nil, and must not
	// call the worker, whose lock is held.
	Observe func(Observation)
	// IgnoreLeases makes the worker run attempts beyond the end of their leases, which a correct worker never
	// does.
	IgnoreLeases bool
}

// Observation is the start or the end of an attempt on a worker.
type Observation struct {
	Worker  string
	Task    string
	Attempt uint64
	Ended   bool
	// Progress is how much of the task's run time had been completed.
	Progress time.Duration
}

// Worker is a stand-in for a worker. It runs tasks under leases. A task takes its declared run time, and fails
// after it if its input is "fail".
type Worker struct {
	options WorkerOptions

	mu             sync.Mutex
	uptime         time.Duration
	tasks          map[string]*taskState
	newestAttempts map[string]uint64
	failStarts     bool
	runs           []Run
}

// Run is an attempt that the worker has started. EndedAt is zero while the attempt runs.
type Run struct {
	Task      string
	Attempt   uint64
	StartedAt time.Time
	EndedAt   time.Time
}

// taskState is the newest attempt of a task. throttle is the share of full speed at which it runs, and changed
// is closed and replaced when the attempt produces an output or ends.
type taskState struct {
	worker.Task
	progress time.Duration
	sequence uint64
	outputs  []worker.Output
	changed  chan struct{}
	runIndex int
	throttle float64
}

// checkpoint is what an attempt that was stopped or lost its lease passes on to the next one.
type checkpoint struct {
	Progress time.Duration `json:"progress"`
	Sequence uint64        `json:"sequence"`
}

// NewWorker returns a worker without tasks. Time passes for it only through Run or Step.
func NewWorker(options WorkerOptions) *Worker {
	return &Worker{options: options, tasks: map[string]*taskState{}, newestAttempts: map[string]uint64{}}
}

// FailStarts sets whether every start fails from now on.
func (fake *Worker) FailStarts(fail bool) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.failStarts = fail
}

// Runs returns every attempt that the worker has started, oldest first.
func (fake *Worker) Runs() []Run {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return slices.Clone(fake.runs)
}

// Run advances the worker in real time until ctx ends.
func (fake *Worker) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			fake.Step(now, now.Sub(last))
			last = now
		}
	}
}

// Step advances the worker and its attempts by elapsed.
func (fake *Worker) Step(now time.Time, elapsed time.Duration) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.uptime += elapsed
	for _, state := range fake.tasks {
		fake.stepTask(state, now, elapsed)
	}
}

// stepTask advances an attempt and ends it if it was stopped, lost its lease or completed. The lock must be
// held.
func (fake *Worker) stepTask(state *taskState, now time.Time, elapsed time.Duration) {
	switch state.Phase {
	case worker.Stopping:
		fake.endTask(state, worker.Stopped, "stopped", now)
		return
	case worker.Running:
	default:
		return
	}
	if fake.uptime >= state.LeaseEnd && !fake.options.IgnoreLeases {
		fake.endTask(state, worker.Lapsed, "its lease ended", now)
		return
	}
	state.progress += time.Duration(float64(elapsed) * state.throttle)
	if slices.Contains(fake.options.WatchKinds, state.Kind) || state.Kind == watchKind {
		fake.emitOutput(state)
		return
	}
	if state.progress < state.RunTime {
		return
	}
	if string(state.Input) == failureInput {
		fake.endTask(state, worker.Failed, "the task failed, as its input asked", now)
		return
	}
	state.Result = fmt.Appendf(nil, "%s of %q by %s, attempt %d", state.Kind, state.Input, fake.options.Name, state.Attempt)
	fake.endTask(state, worker.Finished, "finished", now)
}

// emitOutput produces the next output of a watch task if it is due. Beyond maxOutputs, the oldest output is
// dropped.
func (fake *Worker) emitOutput(state *taskState) {
	if state.progress < time.Duration(state.sequence+1)*stepsPerOutput*stepInterval {
		return
	}
	state.sequence++
	state.outputs = append(state.outputs, worker.Output{
		Attempt:  state.Attempt,
		Sequence: state.sequence,
		Data:     fmt.Appendf(nil, "%s heard %q, part %d", fake.options.Name, state.Input, state.sequence),
	})
	if len(state.outputs) > maxOutputs {
		state.outputs = state.outputs[1:]
	}
	close(state.changed)
	state.changed = make(chan struct{})
}

// endTask ends an attempt. The lock must be held.
func (fake *Worker) endTask(state *taskState, phase worker.Phase, reason string, now time.Time) {
	state.Phase = phase
	state.Reason = reason
	fake.runs[state.runIndex].EndedAt = now
	fake.notifyObserver(state, true)
	if phase == worker.Stopped || phase == worker.Lapsed {
		// Encoding a checkpoint cannot fail: it has only integer fields.
		state.Checkpoint, _ = json.Marshal(checkpoint{Progress: state.progress, Sequence: state.sequence})
	}
	close(state.changed)
	state.changed = make(chan struct{})
}

// startTask starts an attempt. It reports whether the attempt is stale, that is, not newer than the newest
// known one or with a lease that has ended, or returns the reason if the start fails otherwise.
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
	if current, found := fake.tasks[start.Task]; found && !hasEnded(current.Phase) {
		return false, "an earlier attempt still runs"
	}
	fake.newestAttempts[start.Task] = start.Attempt
	var resumed checkpoint
	if len(start.Checkpoint) > 0 {
		if err := json.Unmarshal(start.Checkpoint, &resumed); err != nil {
			return false, "the checkpoint can't be read"
		}
	}
	if start.RunTime == 0 {
		start.RunTime = defaultRunTime
	}
	fake.runs = append(fake.runs, Run{Task: start.Task, Attempt: start.Attempt, StartedAt: now})
	fake.tasks[start.Task] = &taskState{
		Task:     worker.Task{StartRequest: start, Phase: worker.Running},
		progress: resumed.Progress,
		sequence: resumed.Sequence,
		changed:  make(chan struct{}),
		runIndex: len(fake.runs) - 1,
		throttle: 1,
	}
	fake.notifyObserver(fake.tasks[start.Task], false)
	return false, ""
}

// notifyObserver reports the start or the end of an attempt to WorkerOptions.Observe.
func (fake *Worker) notifyObserver(state *taskState, isEnd bool) {
	if fake.options.Observe == nil {
		return
	}
	fake.options.Observe(Observation{
		Worker: fake.options.Name, Task: state.Task.Task, Attempt: state.Attempt, Ended: isEnd, Progress: state.progress,
	})
}

// requestStop makes an attempt that is running end at the next step.
func requestStop(state *taskState) {
	if state.Phase == worker.Running {
		state.Phase = worker.Stopping
	}
}

// removeEnded removes an attempt that has ended. The lock must be held.
func (fake *Worker) removeEnded(state *taskState) {
	if hasEnded(state.Phase) {
		delete(fake.tasks, state.Task.Task)
	}
}

// renewLeases extends the leases of current attempts. A lease is never shortened.
func (fake *Worker) renewLeases(renewals []worker.Renewal) {
	for _, renewal := range renewals {
		fake.updateAttempt(renewal.Task, renewal.Attempt, func(state *taskState) {
			state.LeaseEnd = max(state.LeaseEnd, renewal.LeaseEnd)
		})
	}
}

// hasEnded reports whether an attempt in a phase has ended.
func hasEnded(phase worker.Phase) bool {
	return phase != worker.Running && phase != worker.Stopping
}

// updateAttempt calls change with the state of an attempt and the lock held. It returns false without calling
// change if the attempt is not the task's current one.
func (fake *Worker) updateAttempt(task string, attempt uint64, change func(state *taskState)) bool {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	state, found := fake.tasks[task]
	if !found || state.Attempt != attempt {
		return false
	}
	change(state)
	return true
}

// listTasks returns all attempts that have not been removed, sorted by task.
func (fake *Worker) listTasks() worker.Listing {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	listing := worker.Listing{Uptime: fake.uptime, Tasks: make([]worker.Task, 0, len(fake.tasks))}
	for _, id := range slices.Sorted(maps.Keys(fake.tasks)) {
		state := fake.tasks[id]
		listed := state.Task
		listed.Throttle = state.throttle
		listing.Tasks = append(listing.Tasks, listed)
	}
	return listing
}

// usage returns the resources that the running attempts use.
func (fake *Worker) usage() worker.Usage {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	var usage worker.Usage
	for _, state := range fake.tasks {
		if state.Phase == worker.Running {
			usage.MilliCPU += int64(float64(state.MilliCPU) * state.throttle)
			usage.MemoryBytes += state.MemoryBytes
		}
	}
	return usage
}

// outputs returns the outputs of a task after a sequence number, whether the task has ended, and a channel
// that is closed at its next output or end. An unknown task counts as ended.
func (fake *Worker) outputs(task string, after uint64) ([]worker.Output, bool, <-chan struct{}) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	state, found := fake.tasks[task]
	if !found {
		return nil, true, nil
	}
	first := slices.IndexFunc(state.outputs, func(output worker.Output) bool { return output.Sequence > after })
	if first < 0 {
		return nil, hasEnded(state.Phase), state.changed
	}
	return slices.Clone(state.outputs[first:]), hasEnded(state.Phase), state.changed
}
