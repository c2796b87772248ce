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
	// storePause keeps tries apart while the store fails.
	storePause = 100 * time.Millisecond
	// tailWait is how long a read waits for a record. A read that waits while
	// the store drops its history hears nothing until it is asked anew, and a
	// cancellation has to be heard within 3 s.
	tailWait = time.Second
	// tailOver is added to a read's wait for the way there and back.
	tailOver = time.Second
	// producer names owners to the store, which fences them by epoch.
	producer = "owner"
)

// shard is one shard that this entry owns.
type shard struct {
	number int
	epoch  int64
	// active is false until the shard's jobs have been read.
	active  bool
	takenAt time.Time
	cancel  context.CancelFunc
	ctx     context.Context // ends what is on its way for the shard

	jobs map[string]*job.Job
	live map[string]*job.Job // jobs that have not ended, or still have runs
	next int64               // offset to read jobs from

	dirty    map[string]*job.Job
	after    []func(now time.Time) // to be done once what is dirty is in the store
	writing  bool
	sequence int64
	// cancelled holds the jobs with a cancellation, which may be read before
	// the job: the newest records come in the order of their keys.
	cancelled map[string]bool
	// dropped are the records to be dropped with the next append.
	dropped  []platform.Record
	forgotAt time.Time
	// forgetting is set while submissions are being dropped.
	forgetting bool
	// learned is what is known of interference, for SharedShard.
	learned *learnedTable
	// durable tells from when on this process knew that the end of a job is in the store.
	durable map[string]time.Time
}

// newShard returns a shard whose jobs have not been read yet.
func newShard(ctx context.Context, number int, epoch int64, now time.Time) *shard {
	held := &shard{
		number: number, epoch: epoch, takenAt: now,
		jobs: map[string]*job.Job{}, live: map[string]*job.Job{}, dirty: map[string]*job.Job{},
		durable: map[string]time.Time{}, cancelled: map[string]bool{},
	}
	if number == job.InterferenceShard {
		held.learned = newLearnedTable()
	}
	held.ctx, held.cancel = context.WithCancel(ctx)
	return held
}

// take begins to own a shard: earlier owners are fenced, then its jobs are read.
func (owner *Owner) take(number int, epoch int64, now time.Time) {
	held := newShard(owner.ctx, number, epoch, now)
	owner.shards[number] = held
	owner.log(event.ShardTaken, slog.Int("shard", number), slog.Int64("epoch", epoch))
	go owner.load(held)
}

// giveUp stops owning a shard. What was on its way for it has no effect.
func (owner *Owner) giveUp(held *shard, reason string, now time.Time) {
	held.cancel()
	if owner.shards[held.number] != held {
		return
	}
	delete(owner.shards, held.number)
	for _, view := range owner.agents {
		view.forget(held)
		if held.number == job.InterferenceShard {
			// The next owner of the shard begins a table of its own, also if it is
			// this one.
			view.sharedVersion = 0
		}
	}
	owner.log(event.ShardGivenUp, slog.Int("shard", held.number), slog.Int64("epoch", held.epoch),
		slog.String("reason", reason), slog.Duration("held", now.Sub(held.takenAt)))
}

// load fences earlier owners and reads the shard.
func (owner *Owner) load(held *shard) {
	if !owner.write(held, nil) {
		return
	}
	jobs, ok := owner.newest(held, job.TopicJobs)
	if !ok {
		return
	}
	runs, ok := owner.newest(held, job.TopicRuns)
	if !ok {
		return
	}
	owner.decisions.Post(func(now time.Time) {
		if owner.shards[held.number] != held {
			return
		}
		owner.noteLoaded(held, jobs, runs, now)
		go owner.follow(held, jobs.Next)
	})
	if held.number == job.InterferenceShard {
		go owner.keepLearned(held)
	}
}

func (owner *Owner) newest(held *shard, topic string) (platform.Tail, bool) {
	for held.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
		found, err := owner.options.Store.Newest(ctx, topic, held.number)
		cancel()
		if err == nil {
			return found, true
		}
		owner.log(event.AppendRetried, slog.String("call", "newest"), slog.Int("shard", held.number), slog.Any("error", err))
		owner.sleep(held.ctx, storePause)
	}
	return platform.Tail{}, false
}

func (owner *Owner) noteLoaded(held *shard, jobs, runs platform.Tail, now time.Time) {
	handedIn := map[string]bool{}
	for _, record := range jobs.Records {
		if job.IsSubmissionKey(record.Key) {
			handedIn[record.Key] = true
			owner.noteSubmission(held, record, now)
		}
	}
	for _, record := range runs.Records {
		if !handedIn[job.SubmissionKey(record.Key)] {
			// Progress is written once its job was read, so the job was dropped since. One
			// whose record can't be read is still there, and keeps its progress.
			held.dropProgress(record.Key)
			continue
		}
		owner.noteProgress(held, record, now)
	}
	for _, record := range jobs.Records {
		if job.IsCancellationKey(record.Key) {
			owner.noteCancellation(held, record, now)
		}
	}
	held.active = true
	held.next = jobs.Next
	owner.adoptRuns(held, now)
	owner.lookout.addAll()
	owner.log(event.ShardLoaded, slog.Int("shard", held.number), slog.Int64("epoch", held.epoch),
		slog.Int("jobs", len(held.jobs)), slog.Int("live", len(held.live)), slog.Duration("after", now.Sub(held.takenAt)))
}

// follow reads the jobs and cancellations that entries append.
func (owner *Owner) follow(held *shard, next int64) {
	for held.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(held.ctx, tailWait+tailOver)
		tail, err := owner.options.Store.Read(ctx, job.TopicJobs, held.number, next, tailWait)
		cancel()
		if platform.IsGone(err) {
			owner.log(event.TailRestarted, slog.Int("shard", held.number), slog.Int64("offset", next))
			found, ok := owner.newest(held, job.TopicJobs)
			if !ok {
				return
			}
			tail, err = found, nil
		}
		if err != nil {
			owner.sleep(held.ctx, storePause)
			continue
		}
		next = tail.Next
		if len(tail.Records) > 0 {
			owner.decisions.Post(func(now time.Time) { owner.noteTail(held, tail, now) })
		}
	}
}

func (owner *Owner) noteTail(held *shard, tail platform.Tail, now time.Time) {
	if owner.shards[held.number] != held {
		return
	}
	held.next = max(held.next, tail.Next)
	for _, record := range tail.Records {
		switch {
		case job.IsSubmissionKey(record.Key):
			owner.noteSubmission(held, record, now)
		case job.IsCancellationKey(record.Key):
			owner.noteCancellation(held, record, now)
		}
	}
}
