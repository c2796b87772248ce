package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/overload"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

const (
	// admitTimeout bounds the call to the owner. Refused callers should learn of it well within a quarter of their
	// target duration.
	admitTimeout = 100 * time.Millisecond
	// unsettledReportTries and unsettledReportDelay let a report outlast an outage of the store. The tries end after
	// 30 s, when the job does not count as one that may be in the store any more.
	unsettledReportTries = 60
	unsettledReportDelay = 500 * time.Millisecond
	// The causes of refusals in metrics.
	causeLoad  = "load"
	causeStore = "store"
)

// forecaster forecasts when jobs end. *backlogPoller implements it.
type forecaster interface {
	// forecast returns when a job would end if it were accepted now. It reports false if that is not known.
	forecast(submission *job.Submission, now time.Time) (backlog.Forecast, bool)
	// drainedCoreMsPerS returns the rate at which the work of a service and need is done, over all shards. It returns
	// 0 if that is not known.
	drainedCoreMsPerS(service string, need wire.TaskNeed, now time.Time) int64
}

// admission tracks the jobs that the gateway has tried to append, and counts those that it has refused. It may be used
// by many goroutines.
type admission struct {
	mu      sync.Mutex
	appends *overload.AppendTracker
	refused metric.Int64Counter
}

// newAdmission creates the instrument. The error is ignored because the library returns it only for an invalid
// name.
func newAdmission(provider metric.MeterProvider) admission {
	refused, _ := telemetry.Meter(provider, "gateway").Int64Counter("ambertiller.job.refused",
		metric.WithDescription("Jobs that were refused, by queue and cause: load or store."))
	return admission{appends: overload.NewAppendTracker(), refused: refused}
}

// refusal is the refusal of a job for load.
type refusal struct {
	submission *job.Submission
	forecast   backlog.Forecast
	useful     time.Duration
	retryAfter time.Duration
	reason     string
}

// checkAdmission returns the refusal of a job for load, or nil if the job is admitted. The job is admitted if anything
// that the decision needs is not known, or if the owner doesn't answer in time.
func (gateway *Gateway) checkAdmission(
	ctx context.Context, configuration *platform.Configuration, submission *job.Submission, now time.Time,
) *refusal {
	if !gateway.hasAdmission() || gateway.forecaster == nil {
		return nil
	}
	candidate := job.Outline(submission)
	if overload.IsExempt(candidate, configuration.MostUrgentPriority(submission.GetService())) {
		return nil
	}
	forecast, known := gateway.forecaster.forecast(submission, now)
	if !known {
		return nil
	}
	end, useful := overload.EarliestEnd(forecast), overload.UsefulDuration(candidate)
	if !overload.ShouldAsk(end, useful) || gateway.mayBeStored(submission.GetId(), now) {
		return nil
	}
	reply, err := gateway.directory.requestAdmission(ctx, gateway.newAdmitRequest(submission, candidate, end, now))
	if err != nil || !reply.GetDecided() || reply.GetAdmitted() {
		return nil
	}
	if gateway.mayBeStored(submission.GetId(), gateway.options.Clock.Now()) {
		// Another call for the same job has begun to append it meanwhile.
		return nil
	}
	retryAfter := time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
	return &refusal{
		submission: submission, forecast: forecast, useful: useful, retryAfter: retryAfter, reason: reply.GetReason(),
	}
}

// newAdmitRequest returns the request to admit a job, where end is the forecast time until its end.
func (gateway *Gateway) newAdmitRequest(
	submission *job.Submission, candidate *job.Job, end time.Duration, now time.Time,
) *wire.AdmitRequest {
	need := backlog.NewWork(candidate).Need()
	return &wire.AdmitRequest{
		Id: submission.GetId(), Shard: int32(job.ShardOf(submission.GetId(), gateway.options.Shards)),
		Queue: submission.GetQueue(), Service: submission.GetService(), Priority: submission.GetPriority(),
		Need: need, CoreMs: candidate.CoreMs(),
		EndMs: end.Milliseconds(), UsefulMs: overload.UsefulDuration(candidate).Milliseconds(),
		DrainedCoreMsPerS: gateway.forecaster.drainedCoreMsPerS(submission.GetService(), need, now),
	}
}

// mayBeStored reports whether a job may be in the store by an append of this gateway.
func (gateway *Gateway) mayBeStored(id string, now time.Time) bool {
	gateway.admission.mu.Lock()
	defer gateway.admission.mu.Unlock()
	return gateway.admission.appends.MayBeStored(id, now)
}

// requestAdmission asks the owner of a job's shard. It doesn't read the owners from the store, so that it takes no
// longer than admitTimeout.
func (directory *ownerDirectory) requestAdmission(
	ctx context.Context, request *wire.AdmitRequest,
) (*wire.AdmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	member := directory.ownerOf(int(request.GetShard()))
	if member == "" || member == directory.options.MemberName {
		return directory.options.Owner.Admit(ctx, request)
	}
	return directory.peerClient(member).Admit(ctx, request)
}

// respondOverloaded refuses a job for load. The job has not been sent to the store.
func (gateway *Gateway) respondOverloaded(
	writer http.ResponseWriter, request *http.Request, refused *refusal, receivedAt time.Time,
) {
	now := gateway.options.Clock.Now()
	queue := refused.submission.GetQueue()
	gateway.options.Events.Log(request.Context(), event.JobRefused, slog.String("job", refused.submission.GetId()),
		slog.String("reason", refused.reason), slog.String("queue", queue), slog.Duration("forecast", refused.forecast.End()),
		slog.Duration("deviation", refused.forecast.Deviation()), slog.Duration("age", refused.forecast.Age()),
		slog.Duration("useful", refused.useful), slog.Duration("retry_after", refused.retryAfter))
	gateway.metrics.recordAnswer(request.Context(), request.Method, appendRefused.String(), now.Sub(receivedAt))
	gateway.recordRefusal(request.Context(), queue, causeLoad)
	respondRetryLater(writer, http.StatusServiceUnavailable, refused.retryAfter)
}

func (gateway *Gateway) recordRefusal(ctx context.Context, queue, cause string) {
	gateway.admission.refused.Add(ctx, 1,
		metric.WithAttributes(attribute.String("queue", queue), attribute.String("cause", cause)))
}

// appendSubmission appends a job to the store. It records whether the job may be in the store, so that its caller is
// not refused when it comes back. For callers that come back to another gateway, startUnsettledReport tells the owner.
func (gateway *Gateway) appendSubmission(ctx context.Context, submission *job.Submission, value []byte) appendResult {
	id := submission.GetId()
	if !gateway.hasAdmission() {
		return gateway.appendRecord(ctx, id, job.SubmissionKey(id), value)
	}
	mayBeStored := gateway.mayBeStored(id, gateway.options.Clock.Now())
	gateway.admission.mu.Lock()
	gateway.admission.appends.BeginAppend(id, gateway.options.Clock.Now())
	gateway.admission.mu.Unlock()
	result := gateway.appendRecord(ctx, id, job.SubmissionKey(id), value)
	gateway.admission.mu.Lock()
	gateway.admission.appends.EndAppend(id, result.status == appendUnknown, gateway.options.Clock.Now())
	gateway.admission.mu.Unlock()
	if result.status == appendRefused && mayBeStored {
		// An append for an earlier call may still be carried out.
		result.status = appendUnknown
	}
	if result.status == appendRefused {
		gateway.recordRefusal(ctx, submission.GetQueue(), causeStore)
	}
	return result
}

// startUnsettledReport starts to tell the owner of a job's shard that the job may be in the store. It is called after
// the first unsettled attempt to append the job, because its caller may reach another gateway before this one gives up.
// Only submissions are reported.
func (gateway *Gateway) startUnsettledReport(ctx context.Context, id, key string) {
	if gateway.hasAdmission() && key == job.SubmissionKey(id) {
		go gateway.reportUnsettled(context.WithoutCancel(ctx), id)
	}
}

// reportUnsettled tells the owner of a job's shard that the job may be in the store, until an owner that certainly owns
// the shard has confirmed it. The owners are not read from the store before the first try, because the store may be
// unavailable.
func (gateway *Gateway) reportUnsettled(ctx context.Context, id string) {
	request := &wire.AdmitRequest{Id: id, Shard: int32(job.ShardOf(id, gateway.options.Shards))}
	for range unsettledReportTries {
		reply, err := gateway.directory.requestAdmission(ctx, request)
		if err == nil && reply.GetDecided() {
			return
		}
		sleep(ctx, gateway.options.Clock, unsettledReportDelay)
		gateway.directory.refresh(ctx, ownersMaxAge)
	}
}

func (gateway *Gateway) hasAdmission() bool { return gateway.options.Features.Has(feature.Admission) }

// storeRetryAfter returns when the caller may come back whose job the store did not take.
func (gateway *Gateway) storeRetryAfter(id string) time.Duration {
	if !gateway.hasAdmission() {
		return retryDelay
	}
	return overload.OutageRetryAfter(id, gateway.breaker.outage(gateway.options.Clock.Now()))
}

// isAppendRetryUseless reports whether a further attempt to append can't succeed before the deadline of ctx.
func (gateway *Gateway) isAppendRetryUseless(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	if !gateway.hasAdmission() || !limited {
		return false
	}
	now := gateway.options.Clock.Now()
	return overload.IsRetryUseless(gateway.breaker.outage(now) >= breakerOpenDelay, deadline.Sub(now), appendTimeout)
}
