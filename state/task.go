package state

import (
	"time"

	"ambertiller.example/ambertiller/record"
)

// Phase is the phase of a task's lifecycle.
type Phase int32

// The phases of a task. In PhaseAssigned, PhaseRunning and PhaseStopping exactly
// one worker holds the task; in all others none does.
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
func (p Phase) String() string { return phaseNames[p] }

// IsTerminal reports whether a task in this phase never runs again.
func (p Phase) IsTerminal() bool {
	return p == PhaseFinished || p == PhaseFailed || p == PhaseCancelled
}

// IsPlaced reports whether a worker holds a task in this phase.
func (p Phase) IsPlaced() bool {
	return p == PhaseAssigned || p == PhaseRunning || p == PhaseStopping
}

// Task holds the state of one batch job or watch.
type Task struct {
	stored *record.Task
}

// ID returns the task's ID.
func (t *Task) ID() string { return t.stored.GetId() }

// Spec returns the specification as submitted. It must not be changed.
func (t *Task) Spec() *record.TaskSpec { return t.stored.GetSpec() }

// Version returns the number of phase changes of the task so far.
func (t *Task) Version() uint64 { return t.stored.GetVersion() }

// Attempt returns the number of the latest attempt, which is also its fencing token.
func (t *Task) Attempt() uint64 { return t.stored.GetAttempt() }

// Phase returns the current phase.
func (t *Task) Phase() Phase { return Phase(t.stored.GetPhase()) }

// Worker returns the name of the worker that the latest attempt was placed on.
func (t *Task) Worker() string { return t.stored.GetWorker() }

// Incarnation returns the incarnation of the guard that the latest attempt was offered to.
func (t *Task) Incarnation() string { return t.stored.GetIncarnation() }

// OfferDeadline returns the uptime of that guard at which the offer expires.
func (t *Task) OfferDeadline() time.Duration {
	return time.Duration(t.stored.GetOfferDeadlineNanos())
}

// Lease returns how long the latest attempt may run without a renewal.
func (t *Task) Lease() time.Duration { return time.Duration(t.stored.GetLeaseNanos()) }

// Checkpoint returns the checkpoint reference that the next attempt resumes from.
func (t *Task) Checkpoint() []byte { return t.stored.GetCheckpoint() }

// Result returns the result of a task that has finished or failed.
func (t *Task) Result() []byte { return t.stored.GetResult() }

// Reason returns a text that says why the task is in its current phase.
func (t *Task) Reason() string { return t.stored.GetReason() }

// IsCancelling reports whether the task was cancelled while placed. It then ends
// once its attempt has stopped.
func (t *Task) IsCancelling() bool { return t.stored.GetCancelling() }

// StartFailures returns how often a worker failed to start the task.
func (t *Task) StartFailures() int { return int(t.stored.GetStartFailures()) }

// Evictions returns how often an attempt was stopped and the task released, to
// resume on another worker.
func (t *Task) Evictions() int { return int(t.stored.GetEvictions()) }

// CreatedAt returns when the task was created, by the clock of the record's writer.
func (t *Task) CreatedAt() time.Time { return time.Unix(0, t.stored.GetCreatedUnixNano()) }

// ChangedAt returns when the phase last changed, by the clock of that record's
// writer.
func (t *Task) ChangedAt() time.Time { return time.Unix(0, t.stored.GetChangedUnixNano()) }

// PolicyVersion returns the version of the policy that placed the latest attempt.
func (t *Task) PolicyVersion() string { return t.stored.GetPolicyVersion() }

func (s *State) createTask(create *record.TaskCreate, writtenNanos int64) Reason {
	if !isValidName(create.GetTask()) || !isValidSpec(create.GetSpec()) {
		return ReasonInvalid
	}
	if _, exists := s.tasks[create.GetTask()]; exists {
		return ReasonExists
	}
	task := &Task{stored: &record.Task{
		Id:              create.GetTask(),
		Spec:            create.GetSpec(),
		CreatedUnixNano: writtenNanos,
	}}
	s.tasks[task.ID()] = task
	s.setPhase(task, PhasePending, "submitted", writtenNanos)
	return ""
}

func isValidSpec(spec *record.TaskSpec) bool {
	resources := spec.GetResources()
	return isValidName(spec.GetTeam()) && isValidName(spec.GetKind()) &&
		len(spec.GetName()) <= maxNameBytes && len(spec.GetFailureDomain()) <= maxNameBytes &&
		len(spec.GetInput()) <= MaxInputBytes && spec.GetRunTimeNanos() >= 0 &&
		resources.GetMilliCpu() >= 0 && resources.GetMemoryBytes() >= 0 && resources.GetAccelerators() >= 0
}

func (s *State) assignTask(assign *record.TaskAssign, writtenNanos int64) Reason {
	task, found := s.tasks[assign.GetTask()]
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
	if s.IsDraining(assign.GetWorker()) || s.ActiveSuspicion(assign.GetWorker()) != 0 || assign.GetLeaseNanos() <= 0 {
		return ReasonPhase
	}
	task.stored.Attempt++
	task.stored.Worker = assign.GetWorker()
	task.stored.Incarnation = assign.GetIncarnation()
	task.stored.OfferDeadlineNanos = assign.GetOfferDeadlineNanos()
	task.stored.PolicyVersion = assign.GetPolicyVersion()
	task.stored.LeaseNanos = assign.GetLeaseNanos()
	s.setPhase(task, PhaseAssigned, "placed", writtenNanos)
	return ""
}

// currentAttempt returns the task if the given attempt is its latest and is placed.
func (s *State) currentAttempt(id string, attempt uint64) (*Task, Reason) {
	task, found := s.tasks[id]
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

func (s *State) markRunning(running *record.TaskRunning, writtenNanos int64) Reason {
	task, reason := s.currentAttempt(running.GetTask(), running.GetAttempt())
	if reason != "" {
		return reason
	}
	if task.Phase() != PhaseAssigned {
		return ReasonPhase
	}
	s.setPhase(task, PhaseRunning, "started", writtenNanos)
	return ""
}

func (s *State) finishTask(finish *record.TaskFinish, writtenNanos int64) Reason {
	task, reason := s.currentAttempt(finish.GetTask(), finish.GetAttempt())
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
	s.setPhase(task, phase, finish.GetReason(), writtenNanos)
	return ""
}

func (s *State) releaseTask(release *record.TaskRelease, writtenNanos int64) Reason {
	task, reason := s.currentAttempt(release.GetTask(), release.GetAttempt())
	if reason != "" {
		return reason
	}
	if len(release.GetCheckpoint()) > MaxCheckpointBytes {
		return ReasonInvalid
	}
	// While one entry waits for a lease to expire, another may receive a report
	// of the guard again, end the suspicion and renew the lease. The suspicion
	// that the first entry waited under is then over and the lease is still valid.
	if release.GetReason() == record.ReleaseReason_RELEASE_LOST && !s.isActiveSuspicion(task, release.GetSuspicion()) {
		return ReasonStale
	}
	if len(release.GetCheckpoint()) > 0 {
		task.stored.Checkpoint = release.GetCheckpoint()
	}
	s.countRelease(task, release.GetReason())
	s.setPhase(task, phaseAfterRelease(task), release.GetDetail(), writtenNanos)
	return ""
}

// isActiveSuspicion reports whether the task's worker is under the suspicion of
// that number.
func (s *State) isActiveSuspicion(task *Task, number uint64) bool {
	return number != 0 && s.ActiveSuspicion(task.Worker()) == number
}

func (s *State) countRelease(task *Task, reason record.ReleaseReason) {
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

func (s *State) cancelTask(cancel *record.TaskCancel, writtenNanos int64) Reason {
	task, found := s.tasks[cancel.GetTask()]
	if !found {
		return ReasonUnknown
	}
	if task.Phase().IsTerminal() || task.IsCancelling() {
		return ReasonPhase
	}
	if task.Phase() == PhasePending {
		s.setPhase(task, PhaseCancelled, "cancelled before it was placed", writtenNanos)
		return ""
	}
	task.stored.Cancelling = true
	s.setPhase(task, PhaseStopping, "cancelled", writtenNanos)
	return ""
}

func (s *State) evictTask(evict *record.TaskEvict, writtenNanos int64) Reason {
	task, reason := s.currentAttempt(evict.GetTask(), evict.GetAttempt())
	if reason != "" {
		return reason
	}
	if task.Phase() == PhaseStopping {
		return ReasonPhase
	}
	s.setPhase(task, PhaseStopping, evict.GetReason(), writtenNanos)
	return ""
}

func (s *State) forgetTask(forget *record.TaskForget) Reason {
	task, found := s.tasks[forget.GetTask()]
	if !found {
		return ReasonUnknown
	}
	if !task.Phase().IsTerminal() {
		return ReasonPhase
	}
	delete(s.tasks, task.ID())
	delete(s.endedTasks, task.ID())
	return ""
}

// setPhase changes the phase of a task, increments its version and updates the
// indexes.
func (s *State) setPhase(task *Task, phase Phase, reason string, writtenNanos int64) {
	task.stored.Phase = int32(phase)
	task.stored.Reason = reason
	task.stored.Version++
	task.stored.ChangedUnixNano = writtenNanos
	s.updateIndexes(task)
}

// updateIndexes moves a task to the indexes that match its phase. The pending
// and per-worker entries of its earlier phase are removed first.
func (s *State) updateIndexes(task *Task) {
	if _, wasPending := s.pendingTasks[task.ID()]; wasPending {
		delete(s.pendingTasks, task.ID())
		s.pendingByKind[task.Spec().GetKind()]--
	}
	if tasks := s.tasksByWorker[task.Worker()]; tasks != nil {
		delete(tasks, task.ID())
	}
	switch {
	case task.Phase() == PhasePending:
		s.pendingTasks[task.ID()] = task
		s.pendingByKind[task.Spec().GetKind()]++
	case task.Phase().IsTerminal():
		s.endedTasks[task.ID()] = task
	case task.Phase().IsPlaced():
		tasks := s.tasksByWorker[task.Worker()]
		if tasks == nil {
			tasks = map[string]*Task{}
			s.tasksByWorker[task.Worker()] = tasks
		}
		tasks[task.ID()] = task
	}
}
