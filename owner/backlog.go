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

// backlogMaxAge is how long a computed backlog is used. All other owners ask once a second, each at its own time,
// and jobs arrive in bursts.
const backlogMaxAge = 250 * time.Millisecond

// backlogState is what the owner keeps for the backlog and for forecasts.
type backlogState struct {
	outcomes *backlog.Outcomes
	// own is the backlog of the owner's shards, total that of all owners, and tasks what they were computed
	// with, all as of computedAt. Jobs read since have been added to total.
	own        *wire.OwnerBacklog
	total      backlog.Sum
	tasks      taskKnowledge
	computedAt time.Time
}

func newBacklogState() backlogState { return backlogState{outcomes: backlog.NewOutcomes()} }

// Backlog implements wire.DRPCPeerServer: it returns the backlog of the owner's shards, or the sum of all backlogs
// that the owner knows.
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

// computeBacklog sums up the jobs of the owner's shards. A shard that has been loaded too recently for its rate
// to be known is left out, so that the backlog of all owners is unknown meanwhile.
func (owner *Owner) computeBacklog(now time.Time) *wire.OwnerBacklog {
	summary := backlog.NewSummary()
	message := &wire.OwnerBacklog{Owner: owner.MemberName()}
	owner.backlogs.tasks = owner.newTaskKnowledge(now)
	for _, s := range owner.shards {
		if !s.loaded || !s.ended.IsReliable(now) {
			continue
		}
		message.Shards = append(message.Shards, int32(s.number))
		for _, j := range s.live {
			summary.AddJob(j, owner.backlogs.tasks, now)
			owner.backlogs.outcomes.ExcludeWaiting(j, owner.backlogs.tasks, now)
		}
		summary.AddEnded(s.ended, now)
	}
	owner.backlogs.outcomes.Apply(summary, now)
	message.Queues = summary.Messages()
	return message
}

// taskKnowledge implements backlog.Tasks.
type taskKnowledge struct {
	owner *Owner
	now   time.Time
	// largest holds, by service, the most that any one of its workers has of each resource.
	largest map[string]*wire.WorkerStatus
}

func (owner *Owner) newTaskKnowledge(now time.Time) taskKnowledge {
	tasks := taskKnowledge{owner: owner, now: now, largest: map[string]*wire.WorkerStatus{}}
	for _, view := range owner.agents {
		status := view.status()
		largest := tasks.largest[status.GetService()]
		tasks.largest[status.GetService()] = &wire.WorkerStatus{
			MilliCpu:     max(largest.GetMilliCpu(), status.GetMilliCpu()),
			MemoryMb:     max(largest.GetMemoryMb(), status.GetMemoryMb()),
			Accelerators: max(largest.GetAccelerators(), status.GetAccelerators()),
		}
	}
	return tasks
}

// ProgressPercent implements backlog.Tasks.
func (tasks taskKnowledge) ProgressPercent(task *job.Task) int32 {
	view, found := tasks.owner.agents[task.Place().AgentAddress]
	if !found {
		return 0
	}
	if run, tracked := view.runs[task.Name()]; tracked && run.attempt == task.Attempt() {
		return run.progressPercent
	}
	return 0
}

// LacksResources implements backlog.Tasks. A task that no worker is large enough for, or that waits because of its own
// constraints, would wait with any amount of free resources.
func (tasks taskKnowledge) LacksResources(task *job.Task) bool {
	spec := task.Spec()
	largest, hasWorkers := tasks.largest[task.Job().Submission().GetService()]
	fits := spec.GetMilliCpu() <= largest.GetMilliCpu() && spec.GetMemoryMb() <= largest.GetMemoryMb() &&
		spec.GetAccelerators() <= largest.GetAccelerators()
	if hasWorkers && !fits {
		return false
	}
	_, found := task.UnplacedFor(tasks.now)
	switch obstacle(found) {
	case obstacleLabel, obstacleSpread, obstacleSuspect, obstacleTicket:
		return false
	}
	return true
}

// forecastJob forecasts the end of a job that was just read, to be compared with what comes of it. It is called
// before the job is one of its shard, because a job is not ahead of itself.
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
	expected, known := total.Summary().Expect(work)
	forecast, _ := total.Summary().Forecast(work, age)
	if known {
		owner.backlogs.outcomes.Expect(j.ID(), work, expected, forecast, now)
	}
	total.Summary().AddJob(j, owner.backlogs.tasks, now)
}

// recordOutcome compares the forecast of a job with the job's end, which is in the store. The time that the store took
// for it is left out: it says nothing about the backlog, and the store may have been away.
func (owner *Owner) recordOutcome(s *shard, j *job.Job, now time.Time) {
	if !owner.options.Features.Has(feature.Backlog) {
		return
	}
	completed := j.State() == job.State_STATE_COMPLETED
	if completed {
		s.ended.AddJob(j, now)
	}
	outcome, known := owner.backlogs.outcomes.End(j.ID(), completed, j.EndedAt())
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

// forgetForecasts drops the forecasts of the jobs of a shard that has been released.
func (owner *Owner) forgetForecasts(s *shard) {
	for id := range s.jobs {
		owner.backlogs.outcomes.Forget(id)
	}
}
