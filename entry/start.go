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

// offerAttempt offers an assigned attempt to its guard. The message names the
// incarnation and the end of the offer that the log accepted, so it can be
// sent late, or twice, without doing harm.
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
	refused := reply.GetRefusal()
	switch {
	case refused == nil, refused.GetReason() == wire.RefusalReason_REFUSAL_ALREADY_RUNNING:
		entry.propose(ctx, newRunningRecord(id, attempt, now))
	case refused.GetNotRun():
		entry.handleStartRefusal(ctx, id, attempt, request, refused, now)
	default:
		// The attempt may run; the guard's reports will tell.
	}
}

// prepareOffer makes the offer from the state, or nothing when the attempt is
// no longer the task's newest.
func (entry *Entry) prepareOffer(id string, attempt uint64) (request *wire.StartRequest, address string) {
	entry.journal.View(func(folded *state.State) {
		task := folded.Task(id)
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

// leaseForKind returns how long a task of the kind runs on without renewal.
func (entry *Entry) leaseForKind(kind string) time.Duration {
	if settings := entry.documents.Config(); settings != nil {
		if named, found := settings.Kind(kind); found {
			return named.Lease()
		}
	}
	return config.DefaultLease
}

// handleStartError handles an offer that got no answer. Only a connection that
// was never made proves that the guard did not get it.
func (entry *Entry) handleStartError(ctx context.Context, request *wire.StartRequest, err error, now time.Time) {
	var dial *rpc.DialError
	if !errors.As(err, &dial) {
		return
	}
	entry.handleStartRefusal(ctx, request.GetTask(), request.GetAttempt(), request, &wire.Refusal{Detail: err.Error(), NotRun: true}, now)
}

// handleStartRefusal releases an attempt that has proved not to have started. The
// offer is not made again, so nothing can start it later: this entry was the
// only one to make it, or others make the same one that the guard refuses.
func (entry *Entry) handleStartRefusal(ctx context.Context, id string, attempt uint64, request *wire.StartRequest, refused *wire.Refusal, now time.Time) {
	reason := record.ReleaseReason_RELEASE_NOT_STARTED
	var worker string
	entry.journal.View(func(folded *state.State) {
		if task := folded.Task(id); task != nil {
			worker = task.Worker()
		}
	})
	if refused.GetReason() == wire.RefusalReason_REFUSAL_WORKER_FAILED {
		reason = record.ReleaseReason_RELEASE_START_FAILED
		entry.placer.addStartFailure(worker, now)
	}
	entry.placer.addRefusal(id, worker, now)
	entry.options.Events.Log(ctx, event.StartRefused, slog.String("task", id), slog.Uint64("attempt", attempt),
		slog.String("worker", worker), slog.String("reason", refused.GetReason().String()), slog.String("detail", refused.GetDetail()))
	if !entry.fenceAttempt(ctx, worker, request) {
		return
	}
	entry.propose(ctx, newReleaseRecord(id, attempt, reason, refused.GetDetail(), nil, now))
}

// fenceAttempt makes sure that no other copy of the offer is taken up: it asks the
// guard to bar the attempt. A guard that can't be reached leaves the attempt
// to be released when its offer has ended.
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

// propose appends records and leaves it to the log whether they take effect.
// What is lost or unsettled is proposed again from the next report.
func (entry *Entry) propose(ctx context.Context, records ...*record.Record) []state.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	outcomes, err := entry.journal.Append(ctx, records...)
	if err != nil {
		return nil
	}
	return outcomes
}

func newRunningRecord(id string, attempt uint64, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_TaskRunning{TaskRunning: &record.TaskRunning{Task: id, Attempt: attempt}}
	return rec
}

func newReleaseRecord(id string, attempt uint64, reason record.ReleaseReason, detail string, checkpoint []byte, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_TaskRelease{TaskRelease: &record.TaskRelease{
		Task: id, Attempt: attempt, Reason: reason, Detail: detail, Checkpoint: checkpoint,
	}}
	return rec
}
