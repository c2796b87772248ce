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

// Ended reports whether the task will never run again.
func (phase Phase) Ended() bool {
	return phase == PhaseFinished || phase == PhaseFailed || phase == PhaseCancelled
}

// Placed reports whether a worker holds the task.
func (phase Phase) Placed() bool {
	return phase == PhaseAssigned || phase == PhaseRunning || phase == PhaseStopping
}

// Task is one batch job or watch.
type Task struct {
	kept *record.Task
}

// ID returns the task's ID.
func (task *Task) ID() string { return task.kept.GetId() }

// Spec returns what was asked for. It must not be changed.
func (task *Task) Spec() *record.TaskSpec { return task.kept.GetSpec() }

// Version returns the count of changes to the task.
func (task *Task) Version() uint64 { return task.kept.GetVersion() }

// Attempt returns the number of the newest attempt, its fencing token.
func (task *Task) Attempt() uint64 { return task.kept.GetAttempt() }

// Phase returns where the task is in its life.
func (task *Task) Phase() Phase { return Phase(task.kept.GetPhase()) }

// Worker returns the worker of the newest attempt.
func (task *Task) Worker() string { return task.kept.GetWorker() }

// Incarnation returns the guard incarnation that the newest attempt was offered to.
func (task *Task) Incarnation() string { return task.kept.GetIncarnation() }

// OfferDeadline returns the uptime of that guard at which the offer ends.
func (task *Task) OfferDeadline() time.Duration {
	return time.Duration(task.kept.GetOfferDeadlineNanos())
}

// Lease returns how long the newest attempt runs on without renewal.
func (task *Task) Lease() time.Duration { return time.Duration(task.kept.GetLeaseNanos()) }

// Checkpoint returns where the next attempt goes on from.
func (task *Task) Checkpoint() []byte { return task.kept.GetCheckpoint() }

// Result returns what the task produced.
func (task *Task) Result() []byte { return task.kept.GetResult() }

// Reason returns why the task is in its phase, in words.
func (task *Task) Reason() string { return task.kept.GetReason() }

// Cancelling reports whether the task ends once its attempt has stopped.
func (task *Task) Cancelling() bool { return task.kept.GetCancelling() }

// StartFailures returns how often a worker failed to start it.
func (task *Task) StartFailures() int { return int(task.kept.GetStartFailures()) }

// Evictions returns how often it was stopped to go on elsewhere.
func (task *Task) Evictions() int { return int(task.kept.GetEvictions()) }

// Created returns when it was accepted, by its writer's clock.
func (task *Task) Created() time.Time { return time.Unix(0, task.kept.GetCreatedUnixNano()) }

// Changed returns when it last changed, by that change's writer's clock.
func (task *Task) Changed() time.Time { return time.Unix(0, task.kept.GetChangedUnixNano()) }

// PolicyVersion returns the policy version that placed the newest attempt.
func (task *Task) PolicyVersion() string { return task.kept.GetPolicyVersion() }

func (folded *State) createTask(create *record.TaskCreate, written int64) Reason {
	if !validName(create.GetTask()) || !validSpec(create.GetSpec()) {
		return ReasonInvalid
	}
	if _, exists := folded.tasks[create.GetTask()]; exists {
		return ReasonExists
	}
	task := &Task{kept: &record.Task{
		Id:              create.GetTask(),
		Spec:            create.GetSpec(),
		CreatedUnixNano: written,
	}}
	folded.tasks[task.ID()] = task
	folded.move(task, PhasePending, "submitted", written)
	return ""
}

func validSpec(spec *record.TaskSpec) bool {
	resources := spec.GetResources()
	return validName(spec.GetTeam()) && validName(spec.GetKind()) &&
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
	if !validName(assign.GetWorker()) || !validName(assign.GetIncarnation()) {
		return ReasonInvalid
	}
	if folded.Draining(assign.GetWorker()) || folded.Suspicion(assign.GetWorker()) != 0 || assign.GetLeaseNanos() <= 0 {
		return ReasonPhase
	}
	task.kept.Attempt++
	task.kept.Worker = assign.GetWorker()
	task.kept.Incarnation = assign.GetIncarnation()
	task.kept.OfferDeadlineNanos = assign.GetOfferDeadlineNanos()
	task.kept.PolicyVersion = assign.GetPolicyVersion()
	task.kept.LeaseNanos = assign.GetLeaseNanos()
	folded.move(task, PhaseAssigned, "placed", written)
	return ""
}

// current finds the task whose placed attempt is the named one.
func (folded *State) current(id string, attempt uint64) (*Task, Reason) {
	task, found := folded.tasks[id]
	if !found {
		return nil, ReasonUnknown
	}
	if task.Attempt() != attempt {
		return nil, ReasonStale
	}
	if !task.Phase().Placed() {
		return nil, ReasonPhase
	}
	return task, ""
}

func (folded *State) runTask(running *record.TaskRunning, written int64) Reason {
	task, reason := folded.current(running.GetTask(), running.GetAttempt())
	if reason != "" {
		return reason
	}
	if task.Phase() != PhaseAssigned {
		return ReasonPhase
	}
	folded.move(task, PhaseRunning, "started", written)
	return ""
}

func (folded *State) finishTask(finish *record.TaskFinish, written int64) Reason {
	task, reason := folded.current(finish.GetTask(), finish.GetAttempt())
	if reason != "" {
		return reason
	}
	if len(finish.GetResult()) > MaxResultBytes {
		return ReasonInvalid
	}
	task.kept.Result = finish.GetResult()
	task.kept.Checkpoint = nil
	phase := PhaseFinished
	if finish.GetFailed() {
		phase = PhaseFailed
	}
	folded.move(task, phase, finish.GetReason(), written)
	return ""
}

func (folded *State) releaseTask(release *record.TaskRelease, written int64) Reason {
	task, reason := folded.current(release.GetTask(), release.GetAttempt())
	if reason != "" {
		return reason
	}
	if len(release.GetCheckpoint()) > MaxCheckpointBytes {
		return ReasonInvalid
	}
	// The case: an entry counts a lease out while another one hears from the
	// guard again, ends the suspicion and renews. The count is then void.
	if release.GetReason() == record.ReleaseReason_RELEASE_LOST && !folded.underSuspicion(task, release.GetSuspicion()) {
		return ReasonStale
	}
	if len(release.GetCheckpoint()) > 0 {
		task.kept.Checkpoint = release.GetCheckpoint()
	}
	folded.countRelease(task, release.GetReason())
	folded.move(task, phaseAfterRelease(task), release.GetDetail(), written)
	return ""
}

func (folded *State) underSuspicion(task *Task, number uint64) bool {
	return number != 0 && folded.Suspicion(task.Worker()) == number
}

func (folded *State) countRelease(task *Task, reason record.ReleaseReason) {
	switch reason {
	case record.ReleaseReason_RELEASE_START_FAILED:
		task.kept.StartFailures++
	case record.ReleaseReason_RELEASE_STOPPED:
		task.kept.Evictions++
	}
}

func phaseAfterRelease(task *Task) Phase {
	if task.Cancelling() {
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
	if task.Phase().Ended() || task.Cancelling() {
		return ReasonPhase
	}
	if task.Phase() == PhasePending {
		folded.move(task, PhaseCancelled, "cancelled before it was placed", written)
		return ""
	}
	task.kept.Cancelling = true
	folded.move(task, PhaseStopping, "cancelled", written)
	return ""
}

func (folded *State) evictTask(evict *record.TaskEvict, written int64) Reason {
	task, reason := folded.current(evict.GetTask(), evict.GetAttempt())
	if reason != "" {
		return reason
	}
	if task.Phase() == PhaseStopping {
		return ReasonPhase
	}
	folded.move(task, PhaseStopping, evict.GetReason(), written)
	return ""
}

func (folded *State) forgetTask(forget *record.TaskForget) Reason {
	task, found := folded.tasks[forget.GetTask()]
	if !found {
		return ReasonUnknown
	}
	if !task.Phase().Ended() {
		return ReasonPhase
	}
	delete(folded.tasks, task.ID())
	delete(folded.ended, task.ID())
	return ""
}

// move changes a task's phase, counts a version and keeps the indexes.
func (folded *State) move(task *Task, phase Phase, reason string, written int64) {
	task.kept.Phase = int32(phase)
	task.kept.Reason = reason
	task.kept.Version++
	task.kept.ChangedUnixNano = written
	folded.index(task)
}

func (folded *State) index(task *Task) {
	if _, waited := folded.pending[task.ID()]; waited {
		delete(folded.pending, task.ID())
		folded.pendingKinds[task.Spec().GetKind()]--
	}
	if held := folded.byWorker[task.Worker()]; held != nil {
		delete(held, task.ID())
	}
	switch {
	case task.Phase() == PhasePending:
		folded.pending[task.ID()] = task
		folded.pendingKinds[task.Spec().GetKind()]++
	case task.Phase().Ended():
		folded.ended[task.ID()] = task
	case task.Phase().Placed():
		held := folded.byWorker[task.Worker()]
		if held == nil {
			held = map[string]*Task{}
			folded.byWorker[task.Worker()] = held
		}
		held[task.ID()] = task
	}
}
