package entry

import (
	"context"
	"log/slog"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

// Report takes in what a guard says, and answers what it must know. It
// implements the drpc service.
func (entry *Entry) Report(ctx context.Context, report *wire.ReportRequest) (*wire.ReportReply, error) {
	now := entry.now()
	entry.fetchIfNewer(ctx, report.GetDocuments(), report.GetAddress())
	reply := &wire.ReportReply{
		Entry:     entry.options.Name,
		Documents: wire.EncodeCopies(entry.documents.NewerThan(wire.DecodeVersions(report.GetDocuments()))),
	}
	guard := entry.view.AddReport(report, now)
	if guard == nil {
		return reply, nil
	}
	entry.routes.Update(guard, false)
	verdicts := entry.reconcile(guard, now)
	reply.Grants = verdicts.grants
	if len(verdicts.records) > 0 || len(verdicts.stops) > 0 || len(verdicts.starts) > 0 {
		// The guard is answered first; it hears of the outcome next time.
		entry.background.Go(func() { entry.runActions(context.WithoutCancel(ctx), guard, verdicts) })
	}
	return reply, nil
}

// runActions records the ends of attempts and sends stops and offers.
func (entry *Entry) runActions(ctx context.Context, guard *membership.Guard, made *reportActions) {
	if len(made.records) > 0 && entry.isLogFresh(entry.now()) {
		outcomes := entry.propose(ctx, made.records...)
		entry.logAcceptedRecords(ctx, made.records, outcomes)
		made.stops = append(made.stops, evictionStops(guard, made.records, outcomes)...)
	}
	for _, task := range made.starts {
		entry.offerAttempt(ctx, task.ID(), task.Attempt())
	}
	for _, stop := range made.stops {
		entry.stopAttempt(ctx, guard, stop)
	}
}

// evictionStops returns the stops of the attempts whose eviction took effect.
func evictionStops(guard *membership.Guard, records []*record.Record, outcomes []state.Outcome) []*wire.StopRequest {
	var stops []*wire.StopRequest
	for index, outcome := range outcomes {
		evict := records[index].GetTaskEvict()
		if evict == nil || !outcome.IsAccepted() {
			continue
		}
		stops = append(stops, &wire.StopRequest{
			Task: evict.GetTask(), Attempt: evict.GetAttempt(), Incarnation: guard.Incarnation(), Reason: evict.GetReason(),
		})
	}
	return stops
}

func (entry *Entry) logAcceptedRecords(ctx context.Context, records []*record.Record, outcomes []state.Outcome) {
	for index, outcome := range outcomes {
		if !outcome.IsAccepted() {
			continue
		}
		switch body := records[index].GetBody().(type) {
		case *record.Record_TaskFinish:
			entry.metrics.countEndedAttempt(ctx, "finished")
			entry.options.Events.Log(ctx, event.TaskRecorded, slog.String("task", body.TaskFinish.GetTask()),
				slog.Uint64("attempt", body.TaskFinish.GetAttempt()), slog.Bool("failed", body.TaskFinish.GetFailed()), slog.String("reason", body.TaskFinish.GetReason()))
		case *record.Record_TaskRelease:
			entry.metrics.countEndedAttempt(ctx, "released")
			entry.options.Events.Log(ctx, event.TaskRecorded, slog.String("task", body.TaskRelease.GetTask()),
				slog.Uint64("attempt", body.TaskRelease.GetAttempt()), slog.String("reason", body.TaskRelease.GetDetail()))
		case *record.Record_TaskEvict:
			entry.metrics.countEndedAttempt(ctx, "evicting")
			entry.options.Events.Log(ctx, event.TaskRevoked, slog.String("task", body.TaskEvict.GetTask()), slog.String("reason", body.TaskEvict.GetReason()))
		}
	}
}

// stopAttempt asks a guard to stop an attempt. A proof that it does not run there and
// never will ends the attempt at once.
func (entry *Entry) stopAttempt(ctx context.Context, guard *membership.Guard, request *wire.StopRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(guard.Address())).Stop(ctx, request)
	if err != nil || !reply.GetRefusal().GetNotRun() {
		return
	}
	now := entry.now()
	entry.propose(ctx, newReleaseRecord(request.GetTask(), request.GetAttempt(), record.ReleaseReason_RELEASE_NOT_STARTED, reply.GetRefusal().GetDetail(), nil, now))
}
