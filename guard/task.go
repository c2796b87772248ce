package guard

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/admission"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/wire"
	"ambertiller.example/ambertiller/worker"
)

// attempt is the state of an attempt that the guard has started or adopted. It is guarded
// by Guard.mu and kept until the end of the attempt is recorded in the log.
type attempt struct {
	number     uint64
	phase      wire.TaskPhase
	reason     string
	result     []byte
	checkpoint []byte
	// starting is true while the guard waits for the worker's reply to the start request.
	starting bool
	// leaseStart is the worker's uptime as last read before the attempt was reserved. The
	// first lease is counted from it.
	leaseStart time.Duration
}

func (a *attempt) hasEnded() bool {
	return a.phase != wire.TaskPhase_TASK_RUNNING && a.phase != wire.TaskPhase_TASK_STOPPING
}

// Start accepts an offer and starts an attempt on the worker. It implements the Start method
// of the DRPC service Guard.
func (guard *Guard) Start(ctx context.Context, request *wire.StartRequest) (*wire.StartReply, error) {
	now := guard.options.Clock.Now()
	reply := &wire.StartReply{UptimeNanos: guard.uptime(now).Nanoseconds()}
	if reply.Refusal = guard.reserveAttempt(request, now); reply.Refusal != nil {
		guard.recordRefusal(ctx, request.GetTask(), reply.Refusal)
		return reply, nil
	}
	err := guard.options.Worker.Start(ctx, guard.newWorkerStartRequest(request))
	reply.Refusal = guard.handleStartResult(ctx, request, err)
	guard.triggerReport()
	return reply, nil
}

// reserveAttempt decides whether the attempt may start, and if so reserves its resources and
// adds it to the guard's attempts.
func (guard *Guard) reserveAttempt(request *wire.StartRequest, now time.Time) *wire.Refusal {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	current := guard.attempts[request.GetTask()]
	if current != nil && request.GetAttempt() == current.number {
		return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_ALREADY_RUNNING, Detail: "the attempt has been started"}
	}
	if err := guard.leaseHolder.Check(newOffer(request), guard.uptime(now)); err != nil {
		return notRunRefusal(leaseRefusalReasons[err], err.Error())
	}
	switch {
	case current != nil && (request.GetAttempt() < current.number || !current.hasEnded()):
		return notRunRefusal(wire.RefusalReason_REFUSAL_STALE_ATTEMPT, "another attempt is here")
	case !guard.ready:
		return notRunRefusal(wire.RefusalReason_REFUSAL_WORKER_FAILED, "the worker is not known yet")
	}
	requested := request.GetResources()
	if err := guard.gate.AdmitTask(request.GetTask(), admission.Resources{
		MilliCPU:     requested.GetMilliCpu(),
		MemoryBytes:  requested.GetMemoryBytes(),
		Accelerators: requested.GetAccelerators(),
	}); err != nil {
		return admissionRefusal(err)
	}
	guard.attempts[request.GetTask()] = &attempt{
		number:     request.GetAttempt(),
		phase:      wire.TaskPhase_TASK_RUNNING,
		starting:   true,
		leaseStart: guard.workerUptime,
	}
	return nil
}

// newOffer returns the lease offer of a start request.
func newOffer(request *wire.StartRequest) lease.Offer {
	return lease.Offer{
		Subject:     request.GetTask(),
		Token:       request.GetAttempt(),
		Incarnation: request.GetIncarnation(),
		Deadline:    time.Duration(request.GetOfferDeadlineNanos()),
	}
}

// leaseRefusalReasons maps the errors of lease.Holder.Check to reasons for a refusal.
var leaseRefusalReasons = map[error]wire.RefusalReason{
	lease.ErrOtherIncarnation: wire.RefusalReason_REFUSAL_WRONG_INCARNATION,
	lease.ErrExpired:          wire.RefusalReason_REFUSAL_OFFER_EXPIRED,
	lease.ErrFenced:           wire.RefusalReason_REFUSAL_STALE_ATTEMPT,
}

// handleStartResult updates the attempt with the worker's reply to the start request, and
// returns the refusal to send to the entry, or nil if the worker has started the attempt.
// After an error that doesn't prove that nothing was started, the refusal isn't marked as
// not run, and the attempt counts as running until the worker's task list shows otherwise.
func (guard *Guard) handleStartResult(ctx context.Context, request *wire.StartRequest, err error) *wire.Refusal {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	current := guard.attempts[request.GetTask()]
	if current == nil || current.number != request.GetAttempt() {
		return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_STALE_ATTEMPT, Detail: "the attempt ended while it was started"}
	}
	current.starting = false
	var rejectedErr *worker.RejectedError
	switch {
	case err == nil:
		guard.options.Events.Log(ctx, event.TaskStarted, attrTask(request.GetTask()), attrAttempt(request.GetAttempt()))
		return nil
	case errors.As(err, &rejectedErr):
		guard.removeAttempt(request.GetTask())
		return notRunRefusal(wire.RefusalReason_REFUSAL_WORKER_FAILED, err.Error())
	case errors.Is(err, worker.ErrStale):
		guard.removeAttempt(request.GetTask())
		return notRunRefusal(wire.RefusalReason_REFUSAL_STALE_ATTEMPT, err.Error())
	}
	return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_WORKER_FAILED, Detail: err.Error()}
}

// removeAttempt removes the attempt of a task and releases its resources. The caller holds
// guard.mu.
func (guard *Guard) removeAttempt(taskID string) {
	delete(guard.attempts, taskID)
	guard.gate.ReleaseTask(taskID)
}

// newWorkerStartRequest returns the start request to send to the worker. Its lease is counted
// from the last reading of the worker's uptime before the attempt was reserved.
func (guard *Guard) newWorkerStartRequest(request *wire.StartRequest) worker.StartRequest {
	return worker.StartRequest{
		Task:         request.GetTask(),
		Attempt:      request.GetAttempt(),
		Team:         request.GetTeam(),
		Kind:         request.GetKind(),
		Name:         request.GetName(),
		MilliCPU:     request.GetResources().GetMilliCpu(),
		MemoryBytes:  request.GetResources().GetMemoryBytes(),
		Accelerators: request.GetResources().GetAccelerators(),
		RunTime:      time.Duration(request.GetRunTimeNanos()),
		LeaseEnd:     guard.leaseStart(request.GetTask()) + time.Duration(request.GetLeaseNanos()),
		Input:        request.GetInput(),
		Checkpoint:   request.GetCheckpoint(),
	}
}

// leaseStart returns the worker's uptime from which the first lease of the task's attempt is
// counted, or 0 if the guard no longer has an attempt of the task.
func (guard *Guard) leaseStart(taskID string) time.Duration {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if current := guard.attempts[taskID]; current != nil {
		return current.leaseStart
	}
	return 0
}

// Stop stops an attempt, or ensures that it never starts on this worker. It implements the
// Stop method of the DRPC service Guard.
func (guard *Guard) Stop(ctx context.Context, request *wire.StopRequest) (*wire.StopReply, error) {
	now := guard.options.Clock.Now()
	running, wasStopping, refusal := guard.fenceAttempt(request, now)
	if !running {
		return &wire.StopReply{Refusal: refusal}, nil
	}
	if err := guard.options.Worker.Stop(ctx, request.GetTask(), request.GetAttempt()); err != nil {
		return nil, errors.Wrap(err, "stop attempt")
	}
	if !wasStopping {
		guard.options.Events.Log(ctx, event.TaskStopped, attrTask(request.GetTask()), attrAttempt(request.GetAttempt()), attrReason(request.GetReason()))
	}
	return &wire.StopReply{Accepted: true}, nil
}

// fenceAttempt prevents the attempt from being started, or marks it as stopping if it is
// already running. It reports whether the attempt is running and whether it was being
// stopped before this call. If it isn't running, the refusal says whether it has ended or is
// unknown to the guard, and guarantees that it doesn't run now and won't be started later.
func (guard *Guard) fenceAttempt(request *wire.StopRequest, now time.Time) (running, wasStopping bool, refusal *wire.Refusal) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.leaseHolder.Fence(request.GetTask(), request.GetAttempt(), guard.uptime(now))
	current := guard.attempts[request.GetTask()]
	if current != nil && current.number == request.GetAttempt() && !current.hasEnded() {
		wasStopping = current.phase == wire.TaskPhase_TASK_STOPPING
		current.phase = wire.TaskPhase_TASK_STOPPING
		return true, wasStopping, nil
	}
	if current != nil && current.number == request.GetAttempt() {
		return false, false, &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_STALE_ATTEMPT, Detail: "the attempt has ended"}
	}
	return false, false, notRunRefusal(wire.RefusalReason_REFUSAL_STALE_ATTEMPT, "the attempt is not here and won't start here")
}

// Throttle limits an attempt to a share of its processors. It implements the Throttle method
// of the DRPC service Guard.
func (guard *Guard) Throttle(ctx context.Context, request *wire.ThrottleRequest) (*wire.ThrottleReply, error) {
	if share := request.GetShare(); !(share > 0 && share <= 1) {
		return &wire.ThrottleReply{Refusal: notRunRefusal(wire.RefusalReason_REFUSAL_BAD_REQUEST, "the share must be above 0 and at most 1")}, nil
	}
	if !guard.isRunning(request.GetTask(), request.GetAttempt()) {
		return &wire.ThrottleReply{Refusal: notRunRefusal(wire.RefusalReason_REFUSAL_STALE_ATTEMPT, "the attempt does not run here")}, nil
	}
	if err := guard.options.Worker.Throttle(ctx, request.GetTask(), request.GetAttempt(), request.GetShare()); err != nil {
		return nil, errors.Wrap(err, "throttle attempt")
	}
	guard.options.Events.Log(ctx, event.TaskThrottled, attrTask(request.GetTask()), attrAttempt(request.GetAttempt()), slog.Float64("share", request.GetShare()))
	return &wire.ThrottleReply{}, nil
}

// isRunning reports whether the attempt is running and not being stopped.
func (guard *Guard) isRunning(taskID string, number uint64) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	current := guard.attempts[taskID]
	return current != nil && current.number == number && current.phase == wire.TaskPhase_TASK_RUNNING
}

// AdoptTasks reads the worker's capacity and adopts the attempts on the worker, which an
// earlier incarnation of the guard started. The guard accepts tasks once it has succeeded.
func (guard *Guard) AdoptTasks(ctx context.Context) error {
	capacity, err := guard.options.Worker.Capacity(ctx)
	if err != nil {
		return errors.Wrap(err, "read the worker's capacity")
	}
	listing, err := guard.options.Worker.Tasks(ctx)
	if err != nil {
		return errors.Wrap(err, "read the worker's tasks")
	}
	guard.mu.Lock()
	guard.workerCapacity = capacity
	guard.workerUptime = listing.Uptime
	for _, task := range listing.Tasks {
		guard.adoptTask(ctx, task)
	}
	guard.ready = true
	guard.mu.Unlock()
	guard.updateCapacity()
	return nil
}

// adoptTask adds an attempt that is on the worker, unless the guard already has an attempt of
// the task. The caller holds guard.mu.
func (guard *Guard) adoptTask(ctx context.Context, task worker.Task) {
	if _, found := guard.attempts[task.Task]; found {
		return
	}
	adopted := &attempt{number: task.Attempt, phase: wire.TaskPhase_TASK_RUNNING}
	guard.attempts[task.Task] = adopted
	guard.gate.AdoptTask(task.Task, admission.Resources{
		MilliCPU:     task.MilliCPU,
		MemoryBytes:  task.MemoryBytes,
		Accelerators: task.Accelerators,
	})
	adopted.update(task)
	if adopted.hasEnded() {
		guard.gate.ReleaseTask(task.Task)
	}
	guard.options.Events.Log(ctx, event.TaskAdopted, attrTask(task.Task), attrAttempt(task.Attempt))
}

// wirePhases maps the phases of the worker's interface to those of reports to the entries.
var wirePhases = map[worker.Phase]wire.TaskPhase{
	worker.Running:  wire.TaskPhase_TASK_RUNNING,
	worker.Stopping: wire.TaskPhase_TASK_STOPPING,
	worker.Finished: wire.TaskPhase_TASK_FINISHED,
	worker.Failed:   wire.TaskPhase_TASK_FAILED,
	worker.Stopped:  wire.TaskPhase_TASK_STOPPED,
	worker.Lapsed:   wire.TaskPhase_TASK_LAPSED,
}

// update sets the state of the attempt to what the worker reports. An attempt that is being
// stopped stays so while the worker still reports it as running, because the worker may not
// have handled the stop yet.
func (a *attempt) update(task worker.Task) {
	phase := wirePhases[task.Phase]
	if phase == wire.TaskPhase_TASK_RUNNING && a.phase == wire.TaskPhase_TASK_STOPPING {
		return
	}
	a.phase = phase
	a.reason = task.Reason
	a.result = task.Result
	if a.hasEnded() {
		a.checkpoint = task.Checkpoint
	}
}
