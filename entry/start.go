package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/config"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/rpc"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

// offerAttempt offers an assigned attempt to its guard. The message has the
// incarnation and the deadline that were recorded in the log. The guard therefore
// rejects a message that arrives too late, and a second copy does no harm.
func (entry *Entry) offerAttempt(ctx context.Context, id string, attempt uint64) {
	request, address := entry.prepareOffer(id, attempt)
	if request == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(address)).Start(ctx, request)
	now := entry.now()
	if err != nil {
		entry.handleStartError(ctx, request, err, now)
		return
	}
	refusal := reply.GetRefusal()
	switch {
	case refusal == nil, refusal.GetReason() == wire.RefusalReason_REFUSAL_ALREADY_RUNNING:
		entry.propose(ctx, newRunningRecord(id, attempt, now))
	case refusal.GetNotRun():
		entry.handleStartRefusal(ctx, id, attempt, request, refusal, now)
	default:
		// The attempt may run. The guard's next report shows whether it does.
	}
}

// prepareOffer returns the start request and the guard's address. The request is
// nil if the attempt is not the current one, is not waiting for its start, or has
// an unknown guard.
func (entry *Entry) prepareOffer(id string, attempt uint64) (request *wire.StartRequest, address string) {
	entry.journal.View(func(st *state.State) {
		task := st.Task(id)
		if task == nil || task.Attempt() != attempt || task.Phase() != state.PhaseAssigned {
			return
		}
		guard := entry.view.Guard(task.Worker())
		if guard == nil {
			return
		}
		address = guard.Address()
		request = entry.newStartRequest(task)
	})
	return request, address
}

func (entry *Entry) newStartRequest(task *state.Task) *wire.StartRequest {
	spec := task.Spec()
	return &wire.StartRequest{
		Task:               task.ID(),
		Attempt:            task.Attempt(),
		Incarnation:        task.Incarnation(),
		OfferDeadlineNanos: task.OfferDeadline().Nanoseconds(),
		Team:               spec.GetTeam(),
		Kind:               spec.GetKind(),
		Name:               spec.GetName(),
		Resources: &wire.Resources{
			MilliCpu:     spec.GetResources().GetMilliCpu(),
			MemoryBytes:  spec.GetResources().GetMemoryBytes(),
			Accelerators: spec.GetResources().GetAccelerators(),
		},
		Input:        spec.GetInput(),
		Checkpoint:   task.Checkpoint(),
		RunTimeNanos: spec.GetRunTimeNanos(),
		LeaseNanos:   task.Lease().Nanoseconds(),
	}
}

// leaseForKind returns the lease of the kind's tasks: how long a task keeps running
// without renewal.
func (entry *Entry) leaseForKind(kind string) time.Duration {
	if settings := entry.documents.Config(); settings != nil {
		if kindSettings, found := settings.Kind(kind); found {
			return kindSettings.Lease()
		}
	}
	return config.DefaultLease
}

// handleStartError handles an offer without a reply. Only a failed dial proves that
// the guard did not receive it. Otherwise the guard's reports show what became of
// the attempt.
func (entry *Entry) handleStartError(ctx context.Context, request *wire.StartRequest, err error, now time.Time) {
	var dialErr *rpc.DialError
	if !errors.As(err, &dialErr) {
		return
	}
	entry.handleStartRefusal(ctx, request.GetTask(), request.GetAttempt(), request, &wire.Refusal{Detail: err.Error(), NotRun: true}, now)
}

// handleStartRefusal releases an attempt that certainly did not start, and keeps the
// task off the worker for refusalBackoff. Another entry may have sent the same offer.
// The attempt is therefore fenced at the guard first, so that it can't start after
// its release.
func (entry *Entry) handleStartRefusal(ctx context.Context, id string, attempt uint64, request *wire.StartRequest, refusal *wire.Refusal, now time.Time) {
	reason := record.ReleaseReason_RELEASE_NOT_STARTED
	var worker string
	entry.journal.View(func(st *state.State) {
		if task := st.Task(id); task != nil {
			worker = task.Worker()
		}
	})
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_WORKER_FAILED {
		reason = record.ReleaseReason_RELEASE_START_FAILED
		entry.placer.addStartFailure(worker, now)
	}
	entry.placer.addRefusal(id, worker, now)
	entry.options.Events.Log(ctx, event.StartRefused, slog.String("task", id), slog.Uint64("attempt", attempt),
		slog.String("worker", worker), slog.String("reason", refusal.GetReason().String()), slog.String("detail", refusal.GetDetail()))
	if !entry.fenceAttempt(ctx, worker, request) {
		return
	}
	entry.propose(ctx, newReleaseRecord(id, attempt, reason, refusal.GetDetail(), nil, now))
}

// fenceAttempt asks the guard to reject the attempt from now on, so that no other
// copy of the offer can start it, and reports whether the guard confirmed this. If
// it did not, the attempt is released after its offer has expired.
func (entry *Entry) fenceAttempt(ctx context.Context, worker string, request *wire.StartRequest) bool {
	guard := entry.view.Guard(worker)
	if guard == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(guard.Address())).Stop(ctx, &wire.StopRequest{
		Task: request.GetTask(), Attempt: request.GetAttempt(), Incarnation: request.GetIncarnation(), Reason: "refused",
	})
	return err == nil && reply.GetRefusal().GetNotRun()
}

// propose appends records and returns their outcomes, or nil if the append failed or
// timed out. Nothing is retried here: the next report of the guard, or the next
// round of maintenance, leads to the same records.
func (entry *Entry) propose(ctx context.Context, records ...*record.Record) []state.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	outcomes, err := entry.journal.Append(ctx, records...)
	if err != nil {
		return nil
	}
	return outcomes
}

// newRunningRecord returns the record that the attempt has started.
func newRunningRecord(id string, attempt uint64, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_TaskRunning{TaskRunning: &record.TaskRunning{Task: id, Attempt: attempt}}
	return rec
}

// newReleaseRecord returns the record that the attempt has ended without finishing
// its task. The task continues from the checkpoint, if there is one.
func newReleaseRecord(id string, attempt uint64, reason record.ReleaseReason, detail string, checkpoint []byte, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_TaskRelease{TaskRelease: &record.TaskRelease{
		Task: id, Attempt: attempt, Reason: reason, Detail: detail, Checkpoint: checkpoint,
	}}
	return rec
}
