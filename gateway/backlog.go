package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

const (
	// backlogInterval is how often the owners are asked for their backlogs.
	backlogInterval = time.Second
	// backlogIdleAfter is how long after the last submission an entry without shards goes on asking.
	backlogIdleAfter = 10 * time.Second
	// backlogStartTime is how long after the first round it is not logged that the backlog is unknown. Meanwhile
	// the owners take their shards.
	backlogStartTime = 10 * time.Second
	// maxOwnersAsked bounds how many owners are asked for the sum of all backlogs in one round, so that a round
	// ends before the sum of an earlier one is too old.
	maxOwnersAsked = 3
)

// backlogFollower keeps the backlog of all owners. An entry that owns shards asks all other owners; any other
// entry asks one owner for the sum. The store is not called.
type backlogFollower struct {
	options Options
	// askOwn asks the owner in this process, askMember another entry.
	askOwn    func(ctx context.Context) (*wire.OwnerBacklog, error)
	askMember func(ctx context.Context, member string, merged bool) (*wire.OwnerBacklog, error)
	// members returns the other entries that own shards.
	members     func() []string
	updateOwner func(backlogs []*wire.OwnerBacklog)
	metrics     backlogMetrics

	// These are used by the goroutine of run only. logged is the event that was logged last, 0 if none was.
	table     *backlog.Table
	logged    event.Code
	startedAt time.Time // of the first round

	mu          sync.Mutex
	submittedAt time.Time
	sum         backlog.Sum // not changed once it is here
	summedAt    time.Time
}

func newBacklogFollower(options Options, directory *ownerDirectory) *backlogFollower {
	return &backlogFollower{
		options: options, askMember: directory.requestBacklog, members: directory.peers,
		askOwn: func(ctx context.Context) (*wire.OwnerBacklog, error) {
			reply, err := options.Owner.Backlog(ctx, &wire.BacklogRequest{})
			return reply.GetBacklog(), err
		},
		updateOwner: func(backlogs []*wire.OwnerBacklog) { options.Owner.UpdatePeerBacklogs(backlogs) },
		metrics:     newBacklogMetrics(options.Meters), table: backlog.NewTable(),
	}
}

// requestBacklog requests the backlog of another entry or, with merged set, the sum that it knows.
func (directory *ownerDirectory) requestBacklog(
	ctx context.Context, member string, merged bool,
) (*wire.OwnerBacklog, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := directory.peerClient(member).Backlog(ctx, &wire.BacklogRequest{Merged: merged})
	return reply.GetBacklog(), err
}

// run follows the backlogs until ctx ends.
func (follower *backlogFollower) run(ctx context.Context) {
	ticker := follower.options.Clock.NewTicker(backlogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			follower.update(ctx)
		}
	}
}

// recordSubmission notes that a client has submitted a job here.
func (follower *backlogFollower) recordSubmission(now time.Time) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.submittedAt = now
}

// forecast returns when a job would start and end if it were accepted now. It reports false if that is unknown,
// as it is while the backlog of a shard is. It may be called by many goroutines.
func (follower *backlogFollower) forecast(submission *job.Submission, now time.Time) (backlog.Forecast, bool) {
	sum, age, known := follower.current(now)
	if !known {
		return backlog.Forecast{}, false
	}
	return sum.Summary().Forecast(backlog.NewWork(job.New(submission, 0)), age)
}

// drainedCoreMsPerS returns the work that is done in a second of the tasks of a service with a need, in ms of one
// core; 0 if it is not known.
func (follower *backlogFollower) drainedCoreMsPerS(service string, need wire.TaskNeed, now time.Time) int64 {
	sum, _, known := follower.current(now)
	if !known {
		return 0
	}
	return sum.Summary().DrainedCoreMsPerS(service, need)
}

// current returns the sum of all backlogs with its age, and whether it is known.
func (follower *backlogFollower) current(now time.Time) (backlog.Sum, time.Duration, bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	age := follower.sum.Age() + now.Sub(follower.summedAt)
	return follower.sum, age, follower.sum.IsKnown() && age <= backlog.MaxAge
}

// update asks for the backlogs once.
func (follower *backlogFollower) update(ctx context.Context) {
	now := follower.options.Clock.Now()
	own, err := follower.requestOwn(ctx)
	switch {
	case err == nil && len(own.GetShards()) > 0:
		follower.table.Put(follower.options.MemberName, own, now)
		follower.publish(ctx, follower.sumOfOwners(ctx))
	case follower.isIdle(now):
	default:
		follower.publish(ctx, follower.sumOfOneOwner(ctx))
	}
}

// requestOwn asks the owner in this process.
func (follower *backlogFollower) requestOwn(ctx context.Context) (*wire.OwnerBacklog, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return follower.askOwn(ctx)
}

func (follower *backlogFollower) isIdle(now time.Time) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return now.Sub(follower.submittedAt) >= backlogIdleAfter
}

// sumOfOwners asks all other owners for their backlogs and hands them to the owner in this process. The last
// answer of an owner that does not answer now counts until it is too old.
func (follower *backlogFollower) sumOfOwners(ctx context.Context) backlog.Sum {
	members := follower.members()
	answers := make([]*wire.OwnerBacklog, len(members))
	askedAt := follower.options.Clock.Now()
	var asked sync.WaitGroup
	for index, member := range members {
		asked.Go(func() {
			if answer, err := follower.askMember(ctx, member, false); err == nil {
				answers[index] = answer
			}
		})
	}
	asked.Wait()
	for index, member := range members {
		if answers[index] != nil {
			follower.table.Put(member, answers[index], askedAt)
		}
	}
	now := follower.options.Clock.Now()
	follower.table.Prune(now)
	follower.updateOwner(follower.table.Backlogs(follower.options.MemberName, now))
	return follower.table.Sum(follower.options.Shards, now)
}

// sumOfOneOwner asks one owner after another for the sum of all backlogs until one knows it, and returns what the
// last one knew. Each entry begins with another owner.
func (follower *backlogFollower) sumOfOneOwner(ctx context.Context) backlog.Sum {
	members := follower.members()
	table := backlog.NewTable()
	sum := table.Sum(follower.options.Shards, follower.options.Clock.Now())
	for range min(len(members), maxOwnersAsked) {
		member := membership.Owner(follower.options.Name, members)
		members = slices.DeleteFunc(members, func(other string) bool { return other == member })
		askedAt := follower.options.Clock.Now()
		answer, err := follower.askMember(ctx, member, true)
		if err != nil {
			continue
		}
		table = backlog.NewTable()
		table.Put(member, answer, askedAt)
		sum = table.Sum(follower.options.Shards, follower.options.Clock.Now())
		if sum.IsKnown() {
			break
		}
	}
	return sum
}

// publish has forecasts use a sum. The sum of an earlier round stays in use if the new one is not known.
func (follower *backlogFollower) publish(ctx context.Context, sum backlog.Sum) {
	now := follower.options.Clock.Now()
	if _, _, known := follower.current(now); sum.IsKnown() || !known {
		follower.mu.Lock()
		follower.sum, follower.summedAt = sum, now
		follower.mu.Unlock()
	}
	current, age, known := follower.current(now)
	follower.metrics.record(ctx, current, age)
	if code := follower.change(known, now); code != 0 {
		follower.options.Events.Log(ctx, code, slog.Any("missing", sum.Missing()), slog.Duration("age", age))
	}
}

// change returns the event to log if the backlog has become known or unknown, else 0. At the start the backlog is
// unknown for a while, which is not logged.
func (follower *backlogFollower) change(known bool, now time.Time) event.Code {
	if follower.startedAt.IsZero() {
		follower.startedAt = now
	}
	code := event.BacklogUnknown
	if known {
		code = event.BacklogKnown
	}
	starting := follower.logged == 0 && now.Sub(follower.startedAt) < backlogStartTime
	if code == follower.logged || !known && starting {
		return 0
	}
	follower.logged = code
	return code
}

// backlogMetrics holds the metric instruments of the backlog.
type backlogMetrics struct {
	age     metric.Float64Gauge
	jobs    metric.Int64Gauge
	waiting metric.Float64Gauge
	// recorded holds the queues that were recorded last. One that has left the sum is recorded with zeros once.
	recorded map[string]bool
}

// newBacklogMetrics creates the instruments. Errors are ignored as in newMetrics.
func newBacklogMetrics(provider metric.MeterProvider) backlogMetrics {
	meter := telemetry.Meter(provider, "gateway")
	instruments := backlogMetrics{recorded: map[string]bool{}}
	instruments.age, _ = meter.Float64Gauge("ambertiller.backlog.age", metric.WithUnit("s"),
		metric.WithDescription("Age of the oldest backlog of an owner that forecasts are based on."))
	instruments.jobs, _ = meter.Int64Gauge("ambertiller.backlog.jobs",
		metric.WithDescription("Jobs of all owners that have not ended, by queue."))
	instruments.waiting, _ = meter.Float64Gauge("ambertiller.backlog.waiting", metric.WithUnit("s"),
		metric.WithDescription("Estimated work of all owners that waits for workers, in seconds of one core, by queue."))
	return instruments
}

// record records the sum of all backlogs and its age.
func (instruments *backlogMetrics) record(ctx context.Context, sum backlog.Sum, age time.Duration) {
	if !sum.IsKnown() {
		return
	}
	jobs, waiting := map[string]int64{}, map[string]time.Duration{}
	for _, row := range sum.Summary().Messages() {
		instruments.recorded[row.GetQueue()] = true
		jobs[row.GetQueue()] += int64(row.GetOpenJobs())
		waiting[row.GetQueue()] += time.Duration(row.GetWaitingCoreMs()) * time.Millisecond
	}
	instruments.age.Record(ctx, age.Seconds())
	for queue := range instruments.recorded {
		instruments.jobs.Record(ctx, jobs[queue], telemetry.WithAttribute("queue", queue))
		instruments.waiting.Record(ctx, waiting[queue].Seconds(), telemetry.WithAttribute("queue", queue))
		if _, found := jobs[queue]; !found {
			delete(instruments.recorded, queue)
		}
	}
}
