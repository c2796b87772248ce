package owner

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// storeTimeout bounds a call to the store; when the store is slow its
	// answers take a quarter of a second.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryDelay keeps tries apart while the store fails.
	storeRetryDelay = 100 * time.Millisecond
	// readWait is how long a read waits for a record. A read that waits while
	// the store drops its history hears nothing until it is asked anew, and a
	// cancellation has to be heard within 3 s.
	readWait = time.Second
	// readTimeoutMargin is added to a read's wait for the way there and back.
	readTimeoutMargin = time.Second
	// producer names owners to the store, which fences them by epoch.
	producer = "owner"
)

// shard is one shard that this entry owns.
type shard struct {
	number int
	epoch  int64
	// loaded is false until the shard's jobs have been read.
	loaded     bool
	acquiredAt time.Time
	cancel     context.CancelFunc
	ctx        context.Context // ends what is on its way for the shard

	jobs       map[string]*job.Job
	live       map[string]*job.Job // jobs that have not ended, or still have runs
	nextOffset int64               // offset to read jobs from

	dirty      map[string]*job.Job
	afterFlush []func(now time.Time) // to be done once what is dirty is in the store
	writing    bool
	sequence   int64
	// cancelled holds the jobs with a cancellation, which may be read before
	// the job: the newest records come in the order of their keys.
	cancelled map[string]bool
	// tombstones are the records to be dropped with the next append.
	tombstones []platform.Record
	prunedAt   time.Time
	// pruning is set while submissions are being dropped.
	pruning bool
	// learned is what is known of interference, for SharedShard.
	learned *learnedTable
	// endStoredAt tells from when on this process knew that the end of a job is in the store.
	endStoredAt map[string]time.Time
}

// newShard returns a shard whose jobs have not been read yet.
func newShard(ctx context.Context, number int, epoch int64, now time.Time) *shard {
	held := &shard{
		number: number, epoch: epoch, acquiredAt: now,
		jobs: map[string]*job.Job{}, live: map[string]*job.Job{}, dirty: map[string]*job.Job{},
		endStoredAt: map[string]time.Time{}, cancelled: map[string]bool{},
	}
	if number == job.InterferenceShard {
		held.learned = newLearnedTable()
	}
	held.ctx, held.cancel = context.WithCancel(ctx)
	return held
}

// acquireShard begins to own a shard: earlier owners are fenced, then its jobs are read.
func (owner *Owner) acquireShard(number int, epoch int64, now time.Time) {
	held := newShard(owner.ctx, number, epoch, now)
	owner.shards[number] = held
	owner.log(event.ShardTaken, slog.Int("shard", number), slog.Int64("epoch", epoch))
	go owner.loadShard(held)
}

// releaseShard stops owning a shard. What was on its way for it has no effect.
func (owner *Owner) releaseShard(held *shard, reason string, now time.Time) {
	held.cancel()
	if owner.shards[held.number] != held {
		return
	}
	delete(owner.shards, held.number)
	for _, view := range owner.agents {
		view.dropShard(held)
		if held.number == job.InterferenceShard {
			// The next owner of the shard begins a table of its own, also if it is
			// this one.
			view.learnedSentVersion = 0
		}
	}
	owner.log(event.ShardGivenUp, slog.Int("shard", held.number), slog.Int64("epoch", held.epoch),
		slog.String("reason", reason), slog.Duration("held", now.Sub(held.acquiredAt)))
}

// loadShard fences earlier owners and reads the shard.
func (owner *Owner) loadShard(held *shard) {
	if !owner.appendUntilStored(held, nil) {
		return
	}
	jobs, ok := owner.readNewest(held, job.TopicJobs)
	if !ok {
		return
	}
	runs, ok := owner.readNewest(held, job.TopicRuns)
	if !ok {
		return
	}
	owner.eventLoop.Post(func(now time.Time) {
		if owner.shards[held.number] != held {
			return
		}
		owner.activateShard(held, jobs, runs, now)
		go owner.followShard(held, jobs.Next)
	})
	if held.number == job.InterferenceShard {
		go owner.persistLearned(held)
	}
}

func (owner *Owner) readNewest(held *shard, topic string) (platform.ReadResult, bool) {
	for held.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
		found, err := owner.options.Store.Newest(ctx, topic, held.number)
		cancel()
		if err == nil {
			return found, true
		}
		owner.log(event.AppendRetried, slog.String("call", "newest"), slog.Int("shard", held.number), slog.Any("error", err))
		owner.sleep(held.ctx, storeRetryDelay)
	}
	return platform.ReadResult{}, false
}

func (owner *Owner) activateShard(held *shard, jobs, runs platform.ReadResult, now time.Time) {
	handedIn := map[string]bool{}
	for _, record := range jobs.Records {
		if job.IsSubmissionKey(record.Key) {
			handedIn[record.Key] = true
			owner.applySubmission(held, record, now)
		}
	}
	for _, record := range runs.Records {
		if !handedIn[job.SubmissionKey(record.Key)] {
			// Progress is written once its job was read, so the job was dropped since. One
			// whose record can't be read is still there, and keeps its progress.
			held.deleteProgress(record.Key)
			continue
		}
		owner.applyProgress(held, record, now)
	}
	for _, record := range jobs.Records {
		if job.IsCancellationKey(record.Key) {
			owner.applyCancellation(held, record, now)
		}
	}
	held.loaded = true
	held.nextOffset = jobs.Next
	owner.adoptRuns(held, now)
	owner.placementChanges.addAll()
	owner.log(event.ShardLoaded, slog.Int("shard", held.number), slog.Int64("epoch", held.epoch),
		slog.Int("jobs", len(held.jobs)), slog.Int("live", len(held.live)), slog.Duration("after", now.Sub(held.acquiredAt)))
}

// followShard reads the jobs and cancellations that entries append.
func (owner *Owner) followShard(held *shard, next int64) {
	for held.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(held.ctx, readWait+readTimeoutMargin)
		tail, err := owner.options.Store.Read(ctx, job.TopicJobs, held.number, next, readWait)
		cancel()
		if platform.IsGone(err) {
			owner.log(event.TailRestarted, slog.Int("shard", held.number), slog.Int64("offset", next))
			found, ok := owner.readNewest(held, job.TopicJobs)
			if !ok {
				return
			}
			tail, err = found, nil
		}
		if err != nil {
			owner.sleep(held.ctx, storeRetryDelay)
			continue
		}
		next = tail.Next
		if len(tail.Records) > 0 {
			owner.eventLoop.Post(func(now time.Time) { owner.applyRecords(held, tail, now) })
		}
	}
}

func (owner *Owner) applyRecords(held *shard, tail platform.ReadResult, now time.Time) {
	if owner.shards[held.number] != held {
		return
	}
	held.nextOffset = max(held.nextOffset, tail.Next)
	for _, record := range tail.Records {
		switch {
		case job.IsSubmissionKey(record.Key):
			owner.applySubmission(held, record, now)
		case job.IsCancellationKey(record.Key):
			owner.applyCancellation(held, record, now)
		}
	}
}
