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

// Report handles the report of a guard. The reply has the lease grants and stops
// for its attempts and the documents it lacks. It implements the DRPC service of
// entries.
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
	actions := entry.reconcile(guard, now)
	reply.Grants = actions.grants
	if len(actions.records) > 0 || len(actions.stops) > 0 || len(actions.starts) > 0 {
		// The reply does not wait for these actions. The reply to the guard's next
		// report has their outcome.
		entry.background.Go(func() { entry.runActions(context.WithoutCancel(ctx), guard, actions) })
	}
	return reply, nil
}

// runActions appends the records and then sends the offers and the stops, among
// them those of the evictions that the log accepted.
func (entry *Entry) runActions(ctx context.Context, guard *membership.Guard, actions *reportActions) {
	if len(actions.records) > 0 && entry.isLogFresh(entry.now()) {
		outcomes := entry.propose(ctx, actions.records...)
		entry.logAcceptedRecords(ctx, actions.records, outcomes)
		actions.stops = append(actions.stops, evictionStops(guard, actions.records, outcomes)...)
	}
	for _, task := range actions.starts {
		entry.offerAttempt(ctx, task.ID(), task.Attempt())
	}
	for _, stop := range actions.stops {
		entry.stopAttempt(ctx, guard, stop)
	}
}

// evictionStops returns the stops of the attempts whose eviction the log accepted.
func evictionStops(guard *membership.Guard, records []*record.Record, outcomes []state.Outcome) []*wire.StopRequest {
	var stops []*wire.StopRequest
	for i, outcome := range outcomes {
		evict := records[i].GetTaskEvict()
		if evict == nil || !outcome.IsAccepted() {
			continue
		}
		stops = append(stops, &wire.StopRequest{
			Task: evict.GetTask(), Attempt: evict.GetAttempt(), Incarnation: guard.Incarnation(), Reason: evict.GetReason(),
		})
	}
	return stops
}

// logAcceptedRecords logs and counts the accepted records that end attempts or
// evict tasks.
func (entry *Entry) logAcceptedRecords(ctx context.Context, records []*record.Record, outcomes []state.Outcome) {
	for i, outcome := range outcomes {
		if !outcome.IsAccepted() {
			continue
		}
		switch body := records[i].GetBody().(type) {
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

// stopAttempt asks the guard to stop an attempt. If the guard replies that the
// attempt is not running and will never start, the attempt is released at once.
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
