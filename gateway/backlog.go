package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/wire"
)

const (
	// backlogInterval is how often backlogs are requested from the owners.
	backlogInterval = time.Second
	// backlogIdleAfter is how long after the last submission an entry without shards requests backlogs.
	backlogIdleAfter = 10 * time.Second
	// backlogStartTime is how long after the first poll an unknown backlog is not logged. Meanwhile the owners acquire
	// their shards.
	backlogStartTime = 10 * time.Second
	// maxOwnersAsked bounds how many owners are asked for the sum of all backlogs in one poll, so that the poll ends
	// before the sum of the previous one is too old.
	maxOwnersAsked = 3
)

// backlogPoller polls the backlogs of all owners and forecasts from their sum. An entry that owns shards requests the
// backlogs of all other owners; any other entry requests the sum from one owner. The store is not called.
type backlogPoller struct {
	options Options
	// askOwn requests the backlog of the owner in this process, askMember that of another entry. With merged set,
	// askMember requests the sum that the other entry knows.
	askOwn    func(ctx context.Context) (*wire.OwnerBacklog, error)
	askMember func(ctx context.Context, member string, merged bool) (*wire.OwnerBacklog, error)
	// members returns the other entries that own shards.
	members     func() []string
	updateOwner func(backlogs []*wire.OwnerBacklog)
	metrics     backlogMetrics

	// These are used by the goroutine of run only.
	table     *backlog.Table
	logged    event.Code // the event that was logged last, 0 if none was
	startedAt time.Time  // of the first poll

	mu          sync.Mutex
	submittedAt time.Time
	sum         backlog.Sum // read-only, because forecasts use it without the lock
	summedAt    time.Time
}

func newBacklogPoller(options Options, directory *ownerDirectory) *backlogPoller {
	return &backlogPoller{
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

// run polls the backlogs until ctx ends.
func (poller *backlogPoller) run(ctx context.Context) {
	ticker := poller.options.Clock.NewTicker(backlogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			poller.update(ctx)
		}
	}
}

// recordSubmission records that a client has submitted a job to this gateway.
func (poller *backlogPoller) recordSubmission(now time.Time) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	poller.submittedAt = now
}

// forecast returns when a job would start and end if it were accepted now. It reports false if that is unknown, for
// instance while the backlog of a shard is unknown. It may be called by many goroutines.
func (poller *backlogPoller) forecast(submission *job.Submission, now time.Time) (backlog.Forecast, bool) {
	sum, age, known := poller.current(now)
	if !known {
		return backlog.Forecast{}, false
	}
	return sum.Summary().Forecast(backlog.NewWork(job.Outline(submission)), age)
}

// drainedCoreMsPerS returns the work of a service and need that is done in a second, in ms of one core. It returns 0 if
// that is not known.
func (poller *backlogPoller) drainedCoreMsPerS(service string, need wire.TaskNeed, now time.Time) int64 {
	sum, _, known := poller.current(now)
	if !known {
		return 0
	}
	return sum.Summary().DrainedCoreMsPerS(service, need)
}

// current returns the sum of all backlogs with its age, and whether it is known.
func (poller *backlogPoller) current(now time.Time) (backlog.Sum, time.Duration, bool) {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	age := poller.sum.Age() + now.Sub(poller.summedAt)
	return poller.sum, age, poller.sum.IsKnown() && age <= backlog.MaxAge
}

// update polls the backlogs once.
func (poller *backlogPoller) update(ctx context.Context) {
	now := poller.options.Clock.Now()
	own, err := poller.requestOwn(ctx)
	switch {
	case err == nil && len(own.GetShards()) > 0:
		poller.table.Put(poller.options.MemberName, own, now)
		poller.publish(ctx, poller.sumOfOwners(ctx))
	case poller.isIdle(now):
	default:
		poller.publish(ctx, poller.sumOfOneOwner(ctx))
	}
}

// requestOwn requests the backlog of the owner in this process.
func (poller *backlogPoller) requestOwn(ctx context.Context) (*wire.OwnerBacklog, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return poller.askOwn(ctx)
}

// isIdle reports whether no job has been submitted to this gateway for backlogIdleAfter.
func (poller *backlogPoller) isIdle(now time.Time) bool {
	poller.mu.Lock()
	defer poller.mu.Unlock()
	return now.Sub(poller.submittedAt) >= backlogIdleAfter
}

// sumOfOwners requests the backlogs of all other owners and passes them to the owner in this process. If an owner does
// not answer, its last answer counts until it is too old.
func (poller *backlogPoller) sumOfOwners(ctx context.Context) backlog.Sum {
	members := poller.members()
	answers := make([]*wire.OwnerBacklog, len(members))
	askedAt := poller.options.Clock.Now()
	var asked sync.WaitGroup
	for index, member := range members {
		asked.Go(func() {
			if answer, err := poller.askMember(ctx, member, false); err == nil {
				answers[index] = answer
			}
		})
	}
	asked.Wait()
	for index, member := range members {
		if answers[index] != nil {
			poller.table.Put(member, answers[index], askedAt)
		}
	}
	now := poller.options.Clock.Now()
	poller.table.Prune(now)
	poller.updateOwner(poller.table.Backlogs(poller.options.MemberName, now))
	return poller.table.Sum(poller.options.Shards, now)
}

// sumOfOneOwner asks one owner after another for the sum of all backlogs until one knows it. It returns the last sum
// received. Entries begin with different owners, to spread the load.
func (poller *backlogPoller) sumOfOneOwner(ctx context.Context) backlog.Sum {
	members := poller.members()
	table := backlog.NewTable()
	sum := table.Sum(poller.options.Shards, poller.options.Clock.Now())
	for range min(len(members), maxOwnersAsked) {
		member := membership.Owner(poller.options.Name, members)
		members = slices.DeleteFunc(members, func(other string) bool { return other == member })
		askedAt := poller.options.Clock.Now()
		answer, err := poller.askMember(ctx, member, true)
		if err != nil {
			continue
		}
		table = backlog.NewTable()
		table.Put(member, answer, askedAt)
		sum = table.Sum(poller.options.Shards, poller.options.Clock.Now())
		if sum.IsKnown() {
			break
		}
	}
	return sum
}

// publish makes forecasts use a sum. If the sum is not known, the previous one stays in use until it is too old.
func (poller *backlogPoller) publish(ctx context.Context, sum backlog.Sum) {
	now := poller.options.Clock.Now()
	if _, _, known := poller.current(now); sum.IsKnown() || !known {
		poller.mu.Lock()
		poller.sum, poller.summedAt = sum, now
		poller.mu.Unlock()
	}
	current, age, known := poller.current(now)
	poller.metrics.record(ctx, current, age)
	if code := poller.eventToLog(known, now); code != 0 {
		poller.options.Events.Log(ctx, code, slog.Any("missing", sum.Missing()), slog.Duration("age", age))
	}
}

// eventToLog returns the event to log if the backlog has become known or unknown, else 0. During backlogStartTime, an
// unknown backlog is not logged.
func (poller *backlogPoller) eventToLog(known bool, now time.Time) event.Code {
	if poller.startedAt.IsZero() {
		poller.startedAt = now
	}
	code := event.BacklogUnknown
	if known {
		code = event.BacklogKnown
	}
	starting := poller.logged == 0 && now.Sub(poller.startedAt) < backlogStartTime
	if code == poller.logged || !known && starting {
		return 0
	}
	poller.logged = code
	return code
}
