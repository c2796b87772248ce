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
	s := &shard{
		number: number, epoch: epoch, acquiredAt: now,
		jobs: map[string]*job.Job{}, live: map[string]*job.Job{}, dirty: map[string]*job.Job{},
		endStoredAt: map[string]time.Time{}, cancelled: map[string]bool{},
	}
	if number == job.InterferenceShard {
		s.learned = newLearnedTable()
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// acquireShard begins to own a shard: earlier owners are fenced, then its jobs are read.
func (owner *Owner) acquireShard(number int, epoch int64, now time.Time) {
	s := newShard(owner.ctx, number, epoch, now)
	owner.shards[number] = s
	owner.log(event.ShardTaken, slog.Int("shard", number), slog.Int64("epoch", epoch))
	go owner.loadShard(s)
}

// releaseShard stops owning a shard. What was on its way for it has no effect.
func (owner *Owner) releaseShard(s *shard, reason string, now time.Time) {
	s.cancel()
	if owner.shards[s.number] != s {
		return
	}
	delete(owner.shards, s.number)
	for _, view := range owner.agents {
		view.dropShard(s)
		if s.number == job.InterferenceShard {
			// The next owner of the shard begins a table of its own, also if it is
			// this one.
			view.learnedSentVersion = 0
		}
	}
	owner.log(event.ShardGivenUp, slog.Int("shard", s.number), slog.Int64("epoch", s.epoch),
		slog.String("reason", reason), slog.Duration("held", now.Sub(s.acquiredAt)))
}

// loadShard fences earlier owners and reads the shard.
func (owner *Owner) loadShard(s *shard) {
	if !owner.appendUntilStored(s, nil) {
		return
	}
	jobs, ok := owner.readNewest(s, job.TopicJobs)
	if !ok {
		return
	}
	runs, ok := owner.readNewest(s, job.TopicRuns)
	if !ok {
		return
	}
	owner.eventLoop.Post(func(now time.Time) {
		if owner.shards[s.number] != s {
			return
		}
		owner.activateShard(s, jobs, runs, now)
		go owner.followShard(s, jobs.Next)
	})
	if s.number == job.InterferenceShard {
		go owner.persistLearned(s)
	}
}

func (owner *Owner) readNewest(s *shard, topic string) (platform.Tail, bool) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		tail, err := owner.options.Store.Newest(ctx, topic, s.number)
		cancel()
		if err == nil {
			return tail, true
		}
		owner.log(event.AppendRetried, slog.String("call", "newest"), slog.Int("shard", s.number), slog.Any("error", err))
		owner.sleep(s.ctx, storeRetryDelay)
	}
	return platform.Tail{}, false
}

func (owner *Owner) activateShard(s *shard, jobs, runs platform.Tail, now time.Time) {
	submitted := map[string]bool{}
	for _, record := range jobs.Records {
		if job.IsSubmissionKey(record.Key) {
			submitted[record.Key] = true
			owner.applySubmission(s, record, now)
		}
	}
	for _, record := range runs.Records {
		if !submitted[job.SubmissionKey(record.Key)] {
			// Progress is written once its job was read, so the job was dropped since. One
			// whose record can't be read is still there, and keeps its progress.
			s.deleteProgress(record.Key)
			continue
		}
		owner.applyProgress(s, record, now)
	}
	for _, record := range jobs.Records {
		if job.IsCancellationKey(record.Key) {
			owner.applyCancellation(s, record, now)
		}
	}
	s.loaded = true
	s.nextOffset = jobs.Next
	owner.adoptRuns(s, now)
	owner.placementChanges.addAll()
	owner.log(event.ShardLoaded, slog.Int("shard", s.number), slog.Int64("epoch", s.epoch),
		slog.Int("jobs", len(s.jobs)), slog.Int("live", len(s.live)), slog.Duration("after", now.Sub(s.acquiredAt)))
}

// followShard reads the jobs and cancellations that entries append.
func (owner *Owner) followShard(s *shard, nextOffset int64) {
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, readWait+readTimeoutMargin)
		tail, err := owner.options.Store.Read(ctx, job.TopicJobs, s.number, nextOffset, readWait)
		cancel()
		if platform.IsGone(err) {
			owner.log(event.TailRestarted, slog.Int("shard", s.number), slog.Int64("offset", nextOffset))
			newest, ok := owner.readNewest(s, job.TopicJobs)
			if !ok {
				return
			}
			tail, err = newest, nil
		}
		if err != nil {
			owner.sleep(s.ctx, storeRetryDelay)
			continue
		}
		nextOffset = tail.Next
		if len(tail.Records) > 0 {
			owner.eventLoop.Post(func(now time.Time) { owner.applyRecords(s, tail, now) })
		}
	}
}

func (owner *Owner) applyRecords(s *shard, tail platform.Tail, now time.Time) {
	if owner.shards[s.number] != s {
		return
	}
	s.nextOffset = max(s.nextOffset, tail.Next)
	for _, record := range tail.Records {
		switch {
		case job.IsSubmissionKey(record.Key):
			owner.applySubmission(s, record, now)
		case job.IsCancellationKey(record.Key):
			owner.applyCancellation(s, record, now)
		}
	}
}
