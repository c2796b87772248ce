package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// backlogMaxAge is how long a computed backlog is used. It bounds how often it is computed: the other owners request it
// once a second, each at another time, and jobs arrive in bursts.
const backlogMaxAge = 250 * time.Millisecond

// backlogState is the state of an owner for backlogs and forecasts.
type backlogState struct {
	outcomes *backlog.Outcomes
	// own is the backlog of the owner's shards, total that of all owners, and tasks the state of tasks from which own
	// was computed, all as of computedAt. Jobs read since then have been added to total.
	own        *wire.OwnerBacklog
	total      backlog.Sum
	tasks      taskStates
	computedAt time.Time
}

func newBacklogState() backlogState { return backlogState{outcomes: backlog.NewOutcomes()} }

// Backlog implements wire.DRPCPeerServer. It returns the backlog of the owner's shards or, if the request is for the
// merged one, the sum of all backlogs that the owner knows.
func (owner *Owner) Backlog(ctx context.Context, request *wire.BacklogRequest) (*wire.BacklogReply, error) {
	if !owner.options.Features.Has(feature.Backlog) {
		return owner.DRPCPeerUnimplementedServer.Backlog(ctx, request)
	}
	reply := &wire.BacklogReply{}
	ok := owner.eventLoop.Call(ctx, func(now time.Time) {
		owner.refreshBacklogs(now)
		reply.Backlog = owner.backlogMessage(request.GetMerged(), now)
	})
	if !ok {
		return nil, errors.New("the entry stops; ask again")
	}
	return reply, nil
}

// backlogMessage returns the owner's backlog, or that of all owners, with its age.
func (owner *Owner) backlogMessage(merged bool, now time.Time) *wire.OwnerBacklog {
	state := &owner.backlogs
	age := now.Sub(state.computedAt)
	if !merged {
		own := state.own
		return &wire.OwnerBacklog{
			Owner: own.GetOwner(), AgeMs: age.Milliseconds(), Shards: own.GetShards(), Queues: own.GetQueues(),
		}
	}
	total := state.total
	return &wire.OwnerBacklog{
		AgeMs: (total.Age() + age).Milliseconds(), Shards: total.Covered(), Queues: total.Summary().Messages(),
	}
}

// refreshBacklogs computes the owner's backlog and the sum of all, unless that was done within backlogMaxAge.
func (owner *Owner) refreshBacklogs(now time.Time) {
	state := &owner.backlogs
	if state.own != nil && now.Sub(state.computedAt) < backlogMaxAge {
		return
	}
	state.computedAt = now
	state.own = owner.computeBacklog(now)
	table := backlog.NewTable()
	table.Put(state.own.GetOwner(), state.own, now)
	for _, peer := range owner.peerBacklogs.backlogs {
		table.Put(peer.GetOwner(), peer, owner.peerBacklogs.receivedAt)
	}
	state.total = table.Sum(owner.options.Shards, now)
}

// computeBacklog sums up the jobs of the owner's shards. A shard that was loaded too recently for a reliable rate is
// left out, which makes the backlog of all owners unknown until then.
func (owner *Owner) computeBacklog(now time.Time) *wire.OwnerBacklog {
	summary := backlog.NewSummary()
	message := &wire.OwnerBacklog{Owner: owner.MemberName()}
	owner.backlogs.tasks = owner.newTaskStates(now)
	for _, s := range owner.shards {
		if !s.loaded || !s.ended.IsReliable(now) {
			continue
		}
		message.Shards = append(message.Shards, int32(s.number))
		for _, j := range s.live {
			summary.AddJob(j, owner.backlogs.tasks, now)
			owner.backlogs.outcomes.ExcludeUnrepresentative(j, owner.backlogs.tasks, now)
		}
		summary.AddEnded(s.ended, now)
	}
	owner.backlogs.outcomes.Apply(summary, now)
	message.Queues = summary.Messages()
	return message
}

// forecastJob forecasts the end of a job that was just read, to compare it with the actual end later. It is called
// before the job is added to its shard, because a job is not ahead of itself.
func (owner *Owner) forecastJob(j *job.Job, now time.Time) {
	if !owner.options.Features.Has(feature.Backlog) || j.IsLongRunning() {
		return
	}
	owner.refreshBacklogs(now)
	total := owner.backlogs.total
	if !total.IsKnown() {
		return
	}
	work := backlog.NewWork(j)
	age := total.Age() + now.Sub(owner.backlogs.computedAt)
	if expected, known := total.Summary().Expect(work); known {
		forecast := total.Summary().Correct(work, expected, age)
		owner.backlogs.outcomes.AddJob(j.ID(), work, expected, forecast, now)
	}
	total.Summary().AddJob(j, owner.backlogs.tasks, now)
}

// recordOutcome compares the forecast of a job with the job's end, once the end is in the store. The time that the
// store took for the end is left out: it says nothing about the backlog, and the store may have been unavailable.
func (owner *Owner) recordOutcome(s *shard, j *job.Job, now time.Time) {
	if !owner.options.Features.Has(feature.Backlog) {
		return
	}
	completed := j.State() == job.State_STATE_COMPLETED
	if completed {
		s.ended.AddJob(j, now)
	}
	outcome, known := owner.backlogs.outcomes.Learn(j.ID(), completed, j.EndedAt())
	if !known {
		return
	}
	queue := j.Submission().GetQueue()
	forecast, expected := outcome.Forecast(), outcome.Expected()
	owner.log(event.JobForecast, slog.String("job", j.ID()), slog.String("queue", queue),
		slog.String("need", backlog.NewWork(j).Need().String()),
		slog.Duration("forecast_start", forecast.Start()), slog.Duration("forecast_end", forecast.End()),
		slog.Duration("deviation", forecast.Deviation()), slog.Duration("age", forecast.Age()),
		slog.Int64("waiting_core_ms", expected.WaitingCoreMs()), slog.Int64("ended_core_ms", expected.EndedCoreMs()),
		slog.Int64("used_milli_cpu", expected.UsedMilliCPU()), slog.Duration("expected", expected.End()),
		slog.Duration("took", outcome.Took()), slog.Float64("ratio", outcome.Ratio()),
		slog.String("state", j.State().String()))
	if forecast.End() > 0 {
		ratio := float64(outcome.Took()) / float64(forecast.End())
		owner.metrics.forecastRatio.Record(owner.ctx, ratio, telemetry.WithAttribute("queue", queue))
	}
}

// removeForecasts removes the forecasts of the jobs of a shard that has been released.
func (owner *Owner) removeForecasts(s *shard) {
	for id := range s.jobs {
		owner.backlogs.outcomes.RemoveJob(id)
	}
}
