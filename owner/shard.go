package owner

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// storeTimeout bounds a write to the store, and how long the response to a read of the newest records may
	// make no progress. A slow store answers within a quarter of a second.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryDelay is the pause before a failed call to the store is retried.
	storeRetryDelay = 100 * time.Millisecond
	// readWait is how long a read of the store waits for a record. If the store compacts its log during a
	// read, the read returns nothing until it is repeated, and cancellations must be seen within 3 s.
	readWait = time.Second
	// readSilence bounds how long the response to a read may make no progress.
	readSilence = time.Second
	// producer is the name under which all owners write to the store, which fences them by epoch.
	producer = "owner"
)

// shard is one shard that this entry owns.
type shard struct {
	number int
	epoch  int64
	// loaded is set once the shard's jobs have been read.
	loaded     bool
	acquiredAt time.Time
	// tailReadAt is when a read of the shard's jobs last succeeded. It is kept only for admission.
	tailReadAt time.Time
	cancel     context.CancelFunc
	ctx        context.Context // cancelled when the shard is released

	jobs       map[string]*job.Job
	live       map[string]*job.Job // jobs that have not ended or still have runs
	nextOffset int64               // offset from which to read further jobs and cancellations

	dirty map[string]*job.Job // jobs whose progress is to be written
	// afterFlush is called once the progress of the dirty jobs is in the store. What can't be taken back waits here,
	// even if it changes no job: only the store can tell that this owner has not been replaced.
	afterFlush []func(now time.Time)
	// stored are the callbacks of afterFlush whose write has succeeded.
	stored     []func(now time.Time)
	writing    bool      // a write to the store is in progress
	appendedAt time.Time // when the last write that succeeded was begun
	sequence   int64     // of the last append with records
	// cancelled holds the jobs with a cancellation. A cancellation may be read before its job, since the
	// store returns the newest records in the order of their keys.
	cancelled map[string]bool
	// tombstones are records that delete progress with the next append.
	tombstones []platform.Record
	prunedAt   time.Time
	// pruning is set while submissions are being deleted from the store.
	pruning bool
	// learned holds the interference estimates; nil except for job.InterferenceShard.
	learned *learnedTable
	// ended counts what ended lately, since the shard was loaded.
	ended *backlog.EndCounter
	// endStoredAt is when this process learned that the end of a job is in the store.
	endStoredAt map[string]time.Time
}

// newShard returns a shard that has not been loaded yet.
func newShard(ctx context.Context, number int, epoch int64, now time.Time) *shard {
	s := &shard{
		number: number, epoch: epoch, acquiredAt: now, tailReadAt: now,
		jobs: map[string]*job.Job{}, live: map[string]*job.Job{}, dirty: map[string]*job.Job{},
		endStoredAt: map[string]time.Time{}, cancelled: map[string]bool{}, ended: backlog.NewEndCounter(now),
	}
	if number == job.InterferenceShard {
		s.learned = newLearnedTable()
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// loadedShards returns the number of shards that this entry owns and has loaded.
func (owner *Owner) loadedShards() int {
	loaded := 0
	for _, s := range owner.shards {
		if s.loaded {
			loaded++
		}
	}
	return loaded
}

// acquireShard starts to own a shard. Its jobs are loaded in the background.
func (owner *Owner) acquireShard(number int, epoch int64, now time.Time) {
	s := newShard(owner.ctx, number, epoch, now)
	owner.shards[number] = s
	owner.log(event.ShardTaken, slog.Int("shard", number), slog.Int64("epoch", epoch))
	go owner.loadShard(s)
}

// releaseShard stops owning a shard. Calls and messages for it that are in flight have no effect any more.
func (owner *Owner) releaseShard(s *shard, reason string, now time.Time) {
	s.cancel()
	if owner.shards[s.number] != s {
		return
	}
	delete(owner.shards, s.number)
	owner.removeForecasts(s)
	for _, view := range owner.agents {
		view.dropShard(s)
		if s.number == job.InterferenceShard {
			// The next owner of the shard starts a new table, even if it is this entry again.
			view.learnedSentVersion = 0
		}
	}
	owner.log(event.ShardGivenUp, slog.Int("shard", s.number), slog.Int64("epoch", s.epoch),
		slog.String("reason", reason), slog.Duration("held", now.Sub(s.acquiredAt)))
}

// loadShard fences earlier owners by an empty append under the new epoch, reads the records of the shard, and
// then follows new ones.
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

// readNewest reads the newest record of each key in the shard's partition of a topic. It retries each page until it
// succeeds, and reports false if the shard is released before.
func (owner *Owner) readNewest(s *shard, topic string) (platform.ReadResult, bool) {
	read := owner.options.Store.NewNewestRead(topic, s.number, storeTimeout)
	for s.ctx.Err() == nil && !read.IsDone() {
		if err := read.ReadPage(s.ctx); err != nil {
			owner.log(event.AppendRetried, slog.String("call", "newest"), slog.Int("shard", s.number), slog.Any("error", err))
			owner.sleep(s.ctx, storeRetryDelay)
		}
	}
	return read.Result(), read.IsDone()
}

// activateShard applies the records that were read of a shard, and marks the shard as loaded.
func (owner *Owner) activateShard(s *shard, jobs, runs platform.ReadResult, now time.Time) {
	submitted := map[string]bool{}
	for _, record := range jobs.Records {
		if job.IsSubmissionKey(record.Key) {
			submitted[record.Key] = true
			owner.applySubmission(s, record, now)
		}
	}
	for _, record := range byOffset(runs.Records) {
		if !submitted[job.SubmissionKey(job.ProgressJob(record.Key))] {
			// Progress is only written for a job that was read, so the job has been deleted since. A
			// job whose record can't be decoded is still there and keeps its progress.
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
	s.loaded, s.tailReadAt = true, now
	s.ended = backlog.NewEndCounter(now)
	s.nextOffset = jobs.Next
	owner.adoptRuns(s, now)
	owner.applySharedEnds(s, now)
	owner.placementChanges.addAll()
	owner.log(event.ShardLoaded, slog.Int("shard", s.number), slog.Int64("epoch", s.epoch),
		slog.Int("jobs", len(s.jobs)), slog.Int("live", len(s.live)), slog.Duration("after", now.Sub(s.acquiredAt)))
}

// byOffset returns records in the order they were written. The store returns the newest ones in the order of their keys.
func byOffset(records []platform.Record) []platform.Record {
	return slices.SortedStableFunc(slices.Values(records), func(a, b platform.Record) int { return cmp.Compare(a.Offset, b.Offset) })
}

// followShard reads the jobs and cancellations that entries append, until the shard is released.
func (owner *Owner) followShard(s *shard, nextOffset int64) {
	failures := readFailures{owner: owner, topic: job.TopicJobs, partition: s.number}
	for s.ctx.Err() == nil {
		tail, err := owner.options.Store.Read(s.ctx, platform.Read{
			Topic: job.TopicJobs, Partition: s.number, Offset: nextOffset, Wait: readWait, Silence: readSilence,
		})
		if platform.IsGone(err) {
			owner.log(event.TailRestarted, slog.Int("shard", s.number), slog.Int64("offset", nextOffset))
			newest, ok := owner.readNewest(s, job.TopicJobs)
			if !ok {
				return
			}
			tail, err = newest, nil
		}
		failures.record(s.ctx, err)
		if err != nil {
			owner.sleep(s.ctx, storeRetryDelay)
			continue
		}
		nextOffset = tail.Next
		if len(tail.Records) > 0 {
			owner.eventLoop.Post(func(now time.Time) { owner.applyRecords(s, tail, now) })
		}
		owner.recordTailRead(s)
	}
}

// applyRecords applies submissions and cancellations that were appended to a shard.
func (owner *Owner) applyRecords(s *shard, tail platform.ReadResult, now time.Time) {
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
