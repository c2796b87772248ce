package owner

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/overload"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// tailMaxAge is the age of the last read of a shard's jobs above which the store may have jobs that the owner doesn't
// know. The store answers each read within readWait.
const tailMaxAge = readWait + readSilence

// refusedCallers holds the callers that an owner has refused for load.
type refusedCallers struct {
	table *overload.Table
	late  metric.Float64Histogram
}

// newRefusedCallers creates the instrument. The error is ignored because the library returns it only for an invalid
// name.
func newRefusedCallers(provider metric.MeterProvider) refusedCallers {
	late, _ := telemetry.Meter(provider, "owner").Float64Histogram("ambertiller.job.returned.late", metric.WithUnit("s"),
		metric.WithDescription("How late refused callers came back, by queue and whether their job was admitted."))
	return refusedCallers{table: overload.NewTable(), late: late}
}

// Admit implements wire.DRPCPeerServer. It decides whether a job that may end too late to be of use is accepted. A
// request without work and times reports that the job may be in the store.
func (owner *Owner) Admit(ctx context.Context, request *wire.AdmitRequest) (*wire.AdmitReply, error) {
	if !owner.options.Features.Has(feature.Admission) {
		return owner.DRPCPeerUnimplementedServer.Admit(ctx, request)
	}
	reply := &wire.AdmitReply{}
	if !owner.eventLoop.Call(ctx, func(now time.Time) { reply = owner.decideAdmission(request, now) }) {
		return &wire.AdmitReply{}, nil
	}
	return reply, nil
}

// decideAdmission makes no decision if the job's shard is not loaded, if its jobs could not be read lately, or if the
// store has not confirmed lately that this entry owns it. Then the job may be in the store without the owner knowing.
func (owner *Owner) decideAdmission(request *wire.AdmitRequest, now time.Time) *wire.AdmitReply {
	s, j := owner.loadedJob(request.GetId())
	confirmed := owner.hasRecentJoin(now)
	switch {
	case s == nil:
		return &wire.AdmitReply{}
	case j != nil:
		return &wire.AdmitReply{Decided: true, Admitted: true, Reason: overload.ReasonMayBeStored}
	case request.GetCoreMs() == 0 && request.GetEndMs() == 0 && request.GetUsefulMs() == 0:
		owner.refusedCallers.table.MarkMayBeStored(request.GetId(), now)
		if !confirmed {
			// Another entry may own the shard by now, and must be told as well.
			return &wire.AdmitReply{}
		}
		return &wire.AdmitReply{Decided: true, Admitted: true, Reason: overload.ReasonMayBeStored}
	case !confirmed || now.Sub(s.tailReadAt) > tailMaxAge:
		return &wire.AdmitReply{}
	}
	decision := owner.refusedCallers.table.Decide(owner.overloadRequest(request), now)
	if caller, returned := decision.Return(); returned {
		owner.recordReturn(request.GetId(), request.GetQueue(), caller, decision.IsAdmitted(),
			slog.Bool("asked", true), slog.Duration("retry_after", decision.RetryAfter()))
	}
	return &wire.AdmitReply{
		Decided: decision.IsDecided(), Admitted: decision.IsAdmitted(),
		RetryAfterMs: decision.RetryAfter().Milliseconds(), Reason: decision.Reason(),
	}
}

// overloadRequest returns the request for the table. The rate in the message is that of all shards. The owner admits
// jobs by the share of the rate that its own shards have.
func (owner *Owner) overloadRequest(request *wire.AdmitRequest) overload.Request {
	return overload.Request{
		ID: request.GetId(), Queue: request.GetQueue(), CoreMs: request.GetCoreMs(),
		Pool:              overload.PoolName(request.GetService(), request.GetNeed().String(), request.GetPriority()),
		End:               time.Duration(request.GetEndMs()) * time.Millisecond,
		Useful:            time.Duration(request.GetUsefulMs()) * time.Millisecond,
		DrainedCoreMsPerS: float64(request.GetDrainedCoreMsPerS()),
		Share:             float64(owner.loadedShards()) / float64(owner.options.Shards),
	}
}

// recordStoredJob records that a job has been read from the store. If it was refused before, and then accepted without
// the owner being asked, it no longer waits ahead of others, and the return of its caller is logged.
func (owner *Owner) recordStoredJob(j *job.Job, now time.Time) {
	if !owner.options.Features.Has(feature.Admission) {
		return
	}
	submission := j.Submission()
	stored := overload.Request{
		ID: j.ID(), Queue: submission.GetQueue(),
		Pool: overload.PoolName(submission.GetService(), backlog.NewWork(j).Need().String(), submission.GetPriority()),
	}
	if !j.IsLongRunning() && !j.IsScheduled() {
		stored.CoreMs = j.CoreMs()
	}
	if caller, returned := owner.refusedCallers.table.MarkStored(stored, now); returned {
		owner.recordReturn(j.ID(), submission.GetQueue(), caller, true, slog.Bool("asked", false))
	}
}

// recordTailRead records when the jobs of a shard were read from the store.
func (owner *Owner) recordTailRead(s *shard) {
	if owner.options.Features.Has(feature.Admission) {
		owner.eventLoop.Post(func(now time.Time) { s.tailReadAt = now })
	}
}

// recordReturn logs and measures the return of a refused caller.
func (owner *Owner) recordReturn(id, queue string, caller overload.Return, admitted bool, attributes ...slog.Attr) {
	attributes = append([]slog.Attr{
		slog.String("job", id), slog.String("queue", queue), slog.Duration("waited", caller.Waited()),
		slog.Int("refusals", caller.Refusals()), slog.Duration("told", caller.RetryAfter()),
		slog.Duration("late", caller.Late()), slog.Bool("admitted", admitted),
	}, attributes...)
	owner.log(event.JobReturned, attributes...)
	owner.refusedCallers.late.Record(owner.ctx, caller.Late().Seconds(),
		metric.WithAttributes(attribute.String("queue", queue), attribute.Bool("admitted", admitted)))
}
