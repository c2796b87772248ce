package state

import (
	"time"

	"ambertiller.example/ambertiller/record"
)

// Phase is where a task is in its life.
type Phase int32

// The phases. A task is given to at most one worker in Assigned, Running and
// Stopping, and to none in the others.
const (
	PhasePending Phase = iota + 1
	PhaseAssigned
	PhaseRunning
	PhaseStopping
	PhaseFinished
	PhaseFailed
	PhaseCancelled
)

var phaseNames = map[Phase]string{
	PhasePending:   "pending",
	PhaseAssigned:  "assigned",
	PhaseRunning:   "running",
	PhaseStopping:  "stopping",
	PhaseFinished:  "finished",
	PhaseFailed:    "failed",
	PhaseCancelled: "cancelled",
}

// String implements fmt.Stringer.
func (phase Phase) String() string { return phaseNames[phase] }

// IsTerminal reports whether the task will never run again.
func (phase Phase) IsTerminal() bool {
	return phase == PhaseFinished || phase == PhaseFailed || phase == PhaseCancelled
}

// IsPlaced reports whether a worker holds the task.
func (phase Phase) IsPlaced() bool {
	return phase == PhaseAssigned || phase == PhaseRunning || phase == PhaseStopping
}

// Task is one batch job or watch.
type Task struct {
	stored *record.Task
}

// ID returns the task's ID.
func (task *Task) ID() string { return task.stored.GetId() }

// Spec returns what was asked for. It must not be changed.
func (task *Task) Spec() *record.TaskSpec { return task.stored.GetSpec() }

// Version returns the count of changes to the task.
func (task *Task) Version() uint64 { return task.stored.GetVersion() }

// Attempt returns the number of the newest attempt, its fencing token.
func (task *Task) Attempt() uint64 { return task.stored.GetAttempt() }

// Phase returns where the task is in its life.
func (task *Task) Phase() Phase { return Phase(task.stored.GetPhase()) }

// Worker returns the worker of the newest attempt.
func (task *Task) Worker() string { return task.stored.GetWorker() }

// Incarnation returns the guard incarnation that the newest attempt was offered to.
func (task *Task) Incarnation() string { return task.stored.GetIncarnation() }

// OfferDeadline returns the uptime of that guard at which the offer ends.
func (task *Task) OfferDeadline() time.Duration {
	return time.Duration(task.stored.GetOfferDeadlineNanos())
}

// Lease returns how long the newest attempt runs on without renewal.
func (task *Task) Lease() time.Duration { return time.Duration(task.stored.GetLeaseNanos()) }

// Checkpoint returns where the next attempt goes on from.
func (task *Task) Checkpoint() []byte { return task.stored.GetCheckpoint() }

// Result returns what the task produced.
func (task *Task) Result() []byte { return task.stored.GetResult() }

// Reason returns why the task is in its phase, in words.
func (task *Task) Reason() string { return task.stored.GetReason() }

// IsCancelling reports whether the task ends once its attempt has stopped.
func (task *Task) IsCancelling() bool { return task.stored.GetCancelling() }

// StartFailures returns how often a worker failed to start it.
func (task *Task) StartFailures() int { return int(task.stored.GetStartFailures()) }

// Evictions returns how often it was stopped to go on elsewhere.
func (task *Task) Evictions() int { return int(task.stored.GetEvictions()) }

// CreatedAt returns when it was accepted, by its writer's clock.
func (task *Task) CreatedAt() time.Time { return time.Unix(0, task.stored.GetCreatedUnixNano()) }

// ChangedAt returns when it last changed, by that change's writer's clock.
func (task *Task) ChangedAt() time.Time { return time.Unix(0, task.stored.GetChangedUnixNano()) }

// PolicyVersion returns the policy version that placed the newest attempt.
func (task *Task) PolicyVersion() string { return task.stored.GetPolicyVersion() }

func (folded *State) createTask(create *record.TaskCreate, written int64) Reason {
	if !isValidName(create.GetTask()) || !isValidSpec(create.GetSpec()) {
		return ReasonInvalid
	}
	if _, exists := folded.tasks[create.GetTask()]; exists {
		return ReasonExists
	}
	task := &Task{stored: &record.Task{
		Id:              create.GetTask(),
		Spec:            create.GetSpec(),
		CreatedUnixNano: written,
	}}
	folded.tasks[task.ID()] = task
	folded.setPhase(task, PhasePending, "submitted", written)
	return ""
}

func isValidSpec(spec *record.TaskSpec) bool {
	resources := spec.GetResources()
	return isValidName(spec.GetTeam()) && isValidName(spec.GetKind()) &&
		len(spec.GetName()) <= maxNameBytes && len(spec.GetFailureDomain()) <= maxNameBytes &&
		len(spec.GetInput()) <= MaxInputBytes && spec.GetRunTimeNanos() >= 0 &&
		resources.GetMilliCpu() >= 0 && resources.GetMemoryBytes() >= 0 && resources.GetAccelerators() >= 0
}

func (folded *State) assignTask(assign *record.TaskAssign, written int64) Reason {
	task, found := folded.tasks[assign.GetTask()]
	if !found {
		return ReasonUnknown
	}
	if task.Version() != assign.GetBasedOn() {
		return ReasonStale
	}
	if task.Phase() != PhasePending {
		return ReasonPhase
	}
	if !isValidName(assign.GetWorker()) || !isValidName(assign.GetIncarnation()) {
		return ReasonInvalid
	}
	if folded.IsDraining(assign.GetWorker()) || folded.ActiveSuspicion(assign.GetWorker()) != 0 || assign.GetLeaseNanos() <= 0 {
		return ReasonPhase
	}
	task.stored.Attempt++
	task.stored.Worker = assign.GetWorker()
	task.stored.Incarnation = assign.GetIncarnation()
	task.stored.OfferDeadlineNanos = assign.GetOfferDeadlineNanos()
	task.stored.PolicyVersion = assign.GetPolicyVersion()
	task.stored.LeaseNanos = assign.GetLeaseNanos()
	folded.setPhase(task, PhaseAssigned, "placed", written)
	return ""
}

// currentAttempt finds the task whose placed attempt is the named one.
func (folded *State) currentAttempt(id string, attempt uint64) (*Task, Reason) {
	task, found := folded.tasks[id]
	if !found {
		return nil, ReasonUnknown
	}
	if task.Attempt() != attempt {
		return nil, ReasonStale
	}
	if !task.Phase().IsPlaced() {
		return nil, ReasonPhase
	}
	return task, ""
}

func (folded *State) markRunning(running *record.TaskRunning, written int64) Reason {
	task, reason := folded.currentAttempt(running.GetTask(), running.GetAttempt())
	if reason != "" {
		return reason
	}
	if task.Phase() != PhaseAssigned {
		return ReasonPhase
	}
	folded.setPhase(task, PhaseRunning, "started", written)
	return ""
}

func (folded *State) finishTask(finish *record.TaskFinish, written int64) Reason {
	task, reason := folded.currentAttempt(finish.GetTask(), finish.GetAttempt())
	if reason != "" {
		return reason
	}
	if len(finish.GetResult()) > MaxResultBytes {
		return ReasonInvalid
	}
	task.stored.Result = finish.GetResult()
	task.stored.Checkpoint = nil
	phase := PhaseFinished
	if finish.GetFailed() {
		phase = PhaseFailed
	}
	folded.setPhase(task, phase, finish.GetReason(), written)
	return ""
}

func (folded *State) releaseTask(release *record.TaskRelease, written int64) Reason {
	task, reason := folded.currentAttempt(release.GetTask(), release.GetAttempt())
	if reason != "" {
		return reason
	}
	if len(release.GetCheckpoint()) > MaxCheckpointBytes {
		return ReasonInvalid
	}
	// The case: an entry counts a lease out while another one hears from the
	// guard again, ends the suspicion and renews. The count is then void.
	if release.GetReason() == record.ReleaseReason_RELEASE_LOST && !folded.isActiveSuspicion(task, release.GetSuspicion()) {
		return ReasonStale
	}
	if len(release.GetCheckpoint()) > 0 {
		task.stored.Checkpoint = release.GetCheckpoint()
	}
	folded.countRelease(task, release.GetReason())
	folded.setPhase(task, phaseAfterRelease(task), release.GetDetail(), written)
	return ""
}

func (folded *State) isActiveSuspicion(task *Task, number uint64) bool {
	return number != 0 && folded.ActiveSuspicion(task.Worker()) == number
}

func (folded *State) countRelease(task *Task, reason record.ReleaseReason) {
	switch reason {
	case record.ReleaseReason_RELEASE_START_FAILED:
		task.stored.StartFailures++
	case record.ReleaseReason_RELEASE_STOPPED:
		task.stored.Evictions++
	}
}

func phaseAfterRelease(task *Task) Phase {
	if task.IsCancelling() {
		return PhaseCancelled
	}
	if task.StartFailures() >= maxStartFailures {
		return PhaseFailed
	}
	return PhasePending
}

func (folded *State) cancelTask(cancel *record.TaskCancel, written int64) Reason {
	task, found := folded.tasks[cancel.GetTask()]
	if !found {
		return ReasonUnknown
	}
	if task.Phase().IsTerminal() || task.IsCancelling() {
		return ReasonPhase
	}
	if task.Phase() == PhasePending {
		folded.setPhase(task, PhaseCancelled, "cancelled before it was placed", written)
		return ""
	}
	task.stored.Cancelling = true
	folded.setPhase(task, PhaseStopping, "cancelled", written)
	return ""
}

func (folded *State) evictTask(evict *record.TaskEvict, written int64) Reason {
	task, reason := folded.currentAttempt(evict.GetTask(), evict.GetAttempt())
	if reason != "" {
		return reason
	}
	if task.Phase() == PhaseStopping {
		return ReasonPhase
	}
	folded.setPhase(task, PhaseStopping, evict.GetReason(), written)
	return ""
}

func (folded *State) forgetTask(forget *record.TaskForget) Reason {
	task, found := folded.tasks[forget.GetTask()]
	if !found {
		return ReasonUnknown
	}
	if !task.Phase().IsTerminal() {
		return ReasonPhase
	}
	delete(folded.tasks, task.ID())
	delete(folded.endedTasks, task.ID())
	return ""
}

// setPhase changes a task's phase, counts a version and keeps the indexes.
func (folded *State) setPhase(task *Task, phase Phase, reason string, written int64) {
	task.stored.Phase = int32(phase)
	task.stored.Reason = reason
	task.stored.Version++
	task.stored.ChangedUnixNano = written
	folded.updateIndexes(task)
}

func (folded *State) updateIndexes(task *Task) {
	if _, waited := folded.pendingTasks[task.ID()]; waited {
		delete(folded.pendingTasks, task.ID())
		folded.pendingByKind[task.Spec().GetKind()]--
	}
	if held := folded.tasksByWorker[task.Worker()]; held != nil {
		delete(held, task.ID())
	}
	switch {
	case task.Phase() == PhasePending:
		folded.pendingTasks[task.ID()] = task
		folded.pendingByKind[task.Spec().GetKind()]++
	case task.Phase().IsTerminal():
		folded.endedTasks[task.ID()] = task
	case task.Phase().IsPlaced():
		held := folded.tasksByWorker[task.Worker()]
		if held == nil {
			held = map[string]*Task{}
			folded.tasksByWorker[task.Worker()] = held
		}
		held[task.ID()] = task
	}
}
