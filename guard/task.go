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

// attempt is one attempt of a task that the guard answers for.
type attempt struct {
	number     uint64
	phase      wire.TaskPhase
	reason     string
	result     []byte
	checkpoint []byte
	// starting is set while the worker's answer to the start is awaited.
	starting bool
	// leaseStart is the worker's clock before the attempt was reserved.
	leaseStart time.Duration
}

func (each *attempt) hasEnded() bool {
	return each.phase != wire.TaskPhase_TASK_RUNNING && each.phase != wire.TaskPhase_TASK_STOPPING
}

// Start takes up an offer and starts an attempt. It implements the drpc service.
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

// reserveAttempt decides whether the attempt may start and counts it on the worker.
func (guard *Guard) reserveAttempt(request *wire.StartRequest, now time.Time) *wire.Refusal {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	known := guard.attempts[request.GetTask()]
	if known != nil && request.GetAttempt() == known.number {
		return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_ALREADY_RUNNING, Detail: "the attempt has been started"}
	}
	if err := guard.leaseHolder.Check(newOffer(request), guard.uptime(now)); err != nil {
		return notRunRefusal(leaseRefusalReasons[err], err.Error())
	}
	switch {
	case known != nil && (request.GetAttempt() < known.number || !known.hasEnded()):
		return notRunRefusal(wire.RefusalReason_REFUSAL_STALE_ATTEMPT, "another attempt is here")
	case !guard.ready:
		return notRunRefusal(wire.RefusalReason_REFUSAL_WORKER_FAILED, "the worker is not known yet")
	}
	asked := request.GetResources()
	if err := guard.gate.AdmitTask(request.GetTask(), admission.Resources{
		MilliCPU:     asked.GetMilliCpu(),
		MemoryBytes:  asked.GetMemoryBytes(),
		Accelerators: asked.GetAccelerators(),
	}); err != nil {
		return admissionRefusal(err)
	}
	guard.attempts[request.GetTask()] = &attempt{number: request.GetAttempt(), phase: wire.TaskPhase_TASK_RUNNING, starting: true, leaseStart: guard.workerUptime}
	return nil
}

func newOffer(request *wire.StartRequest) lease.Offer {
	return lease.Offer{
		Subject:     request.GetTask(),
		Token:       request.GetAttempt(),
		Incarnation: request.GetIncarnation(),
		Deadline:    time.Duration(request.GetOfferDeadlineNanos()),
	}
}

var leaseRefusalReasons = map[error]wire.RefusalReason{
	lease.ErrOtherIncarnation: wire.RefusalReason_REFUSAL_WRONG_INCARNATION,
	lease.ErrExpired:          wire.RefusalReason_REFUSAL_OFFER_EXPIRED,
	lease.ErrFenced:           wire.RefusalReason_REFUSAL_STALE_ATTEMPT,
}

// handleStartResult notes the worker's answer to a start. When the answer is missing the
// attempt counts as running until the worker's own list tells.
func (guard *Guard) handleStartResult(ctx context.Context, request *wire.StartRequest, err error) *wire.Refusal {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	each := guard.attempts[request.GetTask()]
	if each == nil || each.number != request.GetAttempt() {
		return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_STALE_ATTEMPT, Detail: "the attempt ended while it was started"}
	}
	each.starting = false
	var rejected *worker.RejectedError
	switch {
	case err == nil:
		guard.options.Events.Log(ctx, event.TaskStarted, attrTask(request.GetTask()), attrAttempt(request.GetAttempt()))
		return nil
	case errors.As(err, &rejected):
		guard.removeAttempt(request.GetTask())
		return notRunRefusal(wire.RefusalReason_REFUSAL_WORKER_FAILED, err.Error())
	case errors.Is(err, worker.ErrStale):
		guard.removeAttempt(request.GetTask())
		return notRunRefusal(wire.RefusalReason_REFUSAL_STALE_ATTEMPT, err.Error())
	}
	return &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_WORKER_FAILED, Detail: err.Error()}
}

// removeAttempt stops counting a task; the guard's lock is held.
func (guard *Guard) removeAttempt(task string) {
	delete(guard.attempts, task)
	guard.gate.ReleaseTask(task)
}

// newWorkerStartRequest makes the message to the worker. Its lease is counted from the last
// reading of the worker's clock before the attempt was reserved.
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

func (guard *Guard) leaseStart(task string) time.Duration {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if each := guard.attempts[task]; each != nil {
		return each.leaseStart
	}
	return 0
}

// Stop stops an attempt, or makes sure that it never starts here. It
// implements the drpc service.
func (guard *Guard) Stop(ctx context.Context, request *wire.StopRequest) (*wire.StopReply, error) {
	now := guard.options.Clock.Now()
	running, again, refusal := guard.fenceAttempt(request, now)
	if !running {
		return &wire.StopReply{Refusal: refusal}, nil
	}
	if err := guard.options.Worker.Stop(ctx, request.GetTask(), request.GetAttempt()); err != nil {
		return nil, errors.Wrap(err, "stop attempt")
	}
	if !again {
		guard.options.Events.Log(ctx, event.TaskStopped, attrTask(request.GetTask()), attrAttempt(request.GetAttempt()), attrReason(request.GetReason()))
	}
	return &wire.StopReply{Accepted: true}, nil
}

// fenceAttempt sets a barrier against the attempt and reports whether it runs here, and
// whether it was being stopped before. The refusal proves that it does not and
// will not run.
func (guard *Guard) fenceAttempt(request *wire.StopRequest, now time.Time) (running, again bool, refusal *wire.Refusal) {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.leaseHolder.Fence(request.GetTask(), request.GetAttempt(), guard.uptime(now))
	each := guard.attempts[request.GetTask()]
	if each != nil && each.number == request.GetAttempt() && !each.hasEnded() {
		again = each.phase == wire.TaskPhase_TASK_STOPPING
		each.phase = wire.TaskPhase_TASK_STOPPING
		return true, again, nil
	}
	if each != nil && each.number == request.GetAttempt() {
		return false, false, &wire.Refusal{Reason: wire.RefusalReason_REFUSAL_STALE_ATTEMPT, Detail: "the attempt has ended"}
	}
	return false, false, notRunRefusal(wire.RefusalReason_REFUSAL_STALE_ATTEMPT, "the attempt is not here and won't start here")
}

// Throttle bounds an attempt to a share of its processors. It implements the
// drpc service.
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

func (guard *Guard) isRunning(task string, number uint64) bool {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	each := guard.attempts[task]
	return each != nil && each.number == number && each.phase == wire.TaskPhase_TASK_RUNNING
}

// AdoptTasks reads what the worker has and still runs, and counts it. The guard
// takes work once this has succeeded.
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

func (guard *Guard) adoptTask(ctx context.Context, task worker.Task) {
	if _, known := guard.attempts[task.Task]; known {
		return
	}
	each := &attempt{number: task.Attempt, phase: wire.TaskPhase_TASK_RUNNING}
	guard.attempts[task.Task] = each
	guard.gate.AdoptTask(task.Task, admission.Resources{
		MilliCPU:     task.MilliCPU,
		MemoryBytes:  task.MemoryBytes,
		Accelerators: task.Accelerators,
	})
	each.update(task)
	if each.hasEnded() {
		guard.gate.ReleaseTask(task.Task)
	}
	guard.options.Events.Log(ctx, event.TaskAdopted, attrTask(task.Task), attrAttempt(task.Attempt))
}

var wirePhases = map[worker.Phase]wire.TaskPhase{
	worker.Running:  wire.TaskPhase_TASK_RUNNING,
	worker.Stopping: wire.TaskPhase_TASK_STOPPING,
	worker.Finished: wire.TaskPhase_TASK_FINISHED,
	worker.Failed:   wire.TaskPhase_TASK_FAILED,
	worker.Stopped:  wire.TaskPhase_TASK_STOPPED,
	worker.Lapsed:   wire.TaskPhase_TASK_LAPSED,
}

// update takes over what the worker says of the attempt.
func (each *attempt) update(task worker.Task) {
	phase := wirePhases[task.Phase]
	if phase == wire.TaskPhase_TASK_RUNNING && each.phase == wire.TaskPhase_TASK_STOPPING {
		return
	}
	each.phase = phase
	each.reason = task.Reason
	each.result = task.Result
	if each.hasEnded() {
		each.checkpoint = task.Checkpoint
	}
}
