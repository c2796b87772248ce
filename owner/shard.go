package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

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
	tailOver = time.Second
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
	// durable holds the jobs whose end is in the store.
	durable map[string]bool
}

// take begins to own a shard: earlier owners are fenced, then its jobs are read.
func (owner *Owner) take(number int, epoch int64, now time.Time) {
	ctx, cancel := context.WithCancel(owner.ctx)
	held := &shard{
		number: number, epoch: epoch, takenAt: now, ctx: ctx, cancel: cancel,
		jobs: map[string]*job.Job{}, live: map[string]*job.Job{}, dirty: map[string]*job.Job{},
		durable: map[string]bool{}, cancelled: map[string]bool{},
	}
	owner.shards[number] = held
	owner.options.Events.Log(owner.ctx, event.ShardTaken, slog.Int("shard", number), slog.Int64("epoch", epoch))
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
	}
	owner.options.Events.Log(owner.ctx, event.ShardGivenUp, slog.Int("shard", held.number), slog.Int64("epoch", held.epoch),
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
}

func (owner *Owner) newest(held *shard, topic string) (platform.Tail, bool) {
	for held.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
		found, err := owner.options.Store.Newest(ctx, topic, held.number)
		cancel()
		if err == nil {
			return found, true
		}
		owner.options.Events.Log(owner.ctx, event.AppendRetried, slog.String("call", "newest"), slog.Int("shard", held.number), slog.Any("error", err))
		owner.sleep(held.ctx, storePause)
	}
	return platform.Tail{}, false
}

func (owner *Owner) sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-owner.options.Clock.After(length):
	}
}

func (owner *Owner) noteLoaded(held *shard, jobs, runs platform.Tail, now time.Time) {
	for _, record := range jobs.Records {
		if job.IsSubmissionKey(record.Key) {
			owner.noteSubmission(held, record, now)
		}
	}
	for _, record := range runs.Records {
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
	owner.placeDue = true
	owner.options.Events.Log(owner.ctx, event.ShardLoaded, slog.Int("shard", held.number), slog.Int64("epoch", held.epoch),
		slog.Int("jobs", len(held.jobs)), slog.Int("live", len(held.live)), slog.Duration("after", now.Sub(held.takenAt)))
}

// follow reads the jobs and cancellations that entries append.
func (owner *Owner) follow(held *shard, next int64) {
	for held.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(held.ctx, tailWait+tailOver)
		tail, err := owner.options.Store.Read(ctx, job.TopicJobs, held.number, next, tailWait)
		cancel()
		var refused *platform.RefusedError
		if errors.As(err, &refused) && refused.Gone() {
			owner.options.Events.Log(owner.ctx, event.TailRestarted, slog.Int("shard", held.number), slog.Int64("offset", next))
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
	owner.placeDue = true
}

func (owner *Owner) noteSubmission(held *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	submission := &job.Submission{}
	if err := proto.Unmarshal(record.Value, submission); err != nil {
		owner.unreadable(held, record, err)
		return
	}
	if held.jobs[submission.GetId()] != nil {
		return
	}
	made := job.New(submission, held.number)
	held.jobs[made.ID()] = made
	held.live[made.ID()] = made
	if held.cancelled[made.ID()] {
		owner.cancelJob(held, made, now)
	}
	if held.active {
		owner.options.Events.Log(owner.ctx, event.JobTaken, slog.String("job", made.ID()), slog.String("queue", submission.GetQueue()),
			slog.Int("tasks", len(made.Tasks())), slog.Duration("age", now.Sub(time.UnixMilli(submission.GetSubmittedMs()))),
			slog.Time("objective", made.Objective()))
	}
}

func (owner *Owner) noteProgress(held *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	kept := &job.Progress{}
	if err := proto.Unmarshal(record.Value, kept); err != nil {
		owner.unreadable(held, record, err)
		return
	}
	made, found := held.jobs[kept.GetId()]
	if !found {
		return
	}
	made.Restore(kept, now)
	if made.Ended() {
		held.durable[made.ID()] = true
	}
	held.settleLive(made)
}

// settleLive keeps a job among the live ones while anything may still happen.
func (held *shard) settleLive(made *job.Job) {
	if made.Ended() && len(made.Running()) == 0 {
		delete(held.live, made.ID())
	}
}

func (owner *Owner) noteCancellation(held *shard, record platform.Record, now time.Time) {
	cancellation := &job.Cancellation{}
	if err := proto.Unmarshal(record.Value, cancellation); err != nil {
		owner.unreadable(held, record, err)
		return
	}
	held.cancelled[cancellation.GetId()] = true
	if made, found := held.jobs[cancellation.GetId()]; found {
		owner.cancelJob(held, made, now)
	}
}

func (owner *Owner) cancelJob(held *shard, made *job.Job, now time.Time) {
	if !made.Cancel(now) {
		return
	}
	owner.changed(held, made)
	owner.logEnded(held, made)
	held.settleLive(made)
}

func (owner *Owner) unreadable(held *shard, record platform.Record, err error) {
	owner.options.Events.Log(owner.ctx, event.RecordUnreadable, slog.Int("shard", held.number),
		slog.String("key", record.Key), slog.Int64("offset", record.Offset), slog.Any("error", err))
}

// changed has the job's progress written.
func (owner *Owner) changed(held *shard, made *job.Job) {
	held.dirty[made.ID()] = made
	owner.placeDue = true
}

func (owner *Owner) logEnded(held *shard, made *job.Job) {
	held.after = append(held.after, func(now time.Time) {
		held.durable[made.ID()] = true
		owner.meters.jobEnded(owner.ctx, made)
		owner.options.Events.Log(owner.ctx, event.JobEnded, slog.String("job", made.ID()), slog.String("state", made.State().String()),
			slog.Duration("took", made.EndedAt().Sub(time.UnixMilli(made.Submission().GetSubmittedMs()))),
			slog.Duration("past_objective", made.EndedAt().Sub(made.Objective())))
	})
}

// flush writes what has changed. What waits for it is done once it is in the
// store.
func (owner *Owner) flush(held *shard, now time.Time) {
	if !held.active || held.writing {
		return
	}
	after := held.after
	held.after = nil
	if len(held.dirty)+len(held.dropped) == 0 {
		for _, done := range after {
			done(now)
		}
		return
	}
	records := owner.dirtyRecords(held)
	held.writing = true
	go func() {
		if !owner.write(held, records) {
			return
		}
		owner.decisions.Post(func(now time.Time) {
			if owner.shards[held.number] != held {
				return
			}
			held.writing = false
			for _, done := range after {
				done(now)
			}
		})
	}()
}

func (owner *Owner) dirtyRecords(held *shard) []platform.Record {
	records := held.dropped
	held.dropped = nil
	for id, made := range held.dirty {
		value, err := proto.Marshal(made.Progress())
		if err != nil {
			// A message that was just built always encodes.
			owner.options.Events.Log(owner.ctx, event.RecordUnreadable, slog.String("job", id), slog.Any("error", err))
			continue
		}
		records = append(records, platform.Record{Key: id, Value: value})
	}
	held.dirty = map[string]*job.Job{}
	return records
}

// write appends records under the shard's epoch until the store has them. It
// reports false when the shard is no longer owned.
func (owner *Owner) write(held *shard, records []platform.Record) bool {
	held.sequence++
	add := platform.Append{
		Topic: job.TopicRuns, Part: held.number, Records: records,
		Producer: producer, Epoch: held.epoch, Sequence: held.sequence,
	}
	began := owner.options.Clock.Now()
	for tries := 1; held.ctx.Err() == nil; tries++ {
		ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
		_, err := owner.options.Store.Append(ctx, add)
		cancel()
		if err == nil {
			owner.noteAppended(held, add, owner.options.Clock.Since(began))
			return true
		}
		var refused *platform.RefusedError
		if errors.As(err, &refused) && !refused.Busy() {
			owner.decisions.Post(func(now time.Time) { owner.noteFenced(held, refused, now) })
			return false
		}
		if tries == 1 {
			owner.options.Events.Log(owner.ctx, event.AppendRetried, slog.String("call", "append"), slog.Int("shard", held.number),
				slog.Int64("sequence", add.Sequence), slog.Any("error", err))
		}
		owner.sleep(held.ctx, storePause)
	}
	return false
}

// slowAppend is what an append takes at least to be logged: the store's usual
// answer comes within 10 ms.
const slowAppend = 200 * time.Millisecond

func (owner *Owner) noteAppended(held *shard, add platform.Append, took time.Duration) {
	owner.meters.appends.Record(owner.ctx, took.Seconds())
	if took >= slowAppend {
		owner.options.Events.Log(owner.ctx, event.StoreSlow, slog.Int("shard", held.number), slog.Int64("sequence", add.Sequence), slog.Duration("took", took))
	}
}

// noteFenced gives up a shard that another owner has written to.
func (owner *Owner) noteFenced(held *shard, refused *platform.RefusedError, now time.Time) {
	if owner.shards[held.number] != held {
		return
	}
	owner.fenced[held.number] = held.epoch
	if !refused.Fenced() {
		// Somebody wrote under this very epoch: only another one helps.
		owner.renew.Store(true)
	}
	owner.giveUp(held, refused.Error(), now)
}

const (
	// forgetEvery is how often ended jobs are looked through.
	forgetEvery = 10 * time.Second
	// forgetLater is added to the time for which a state must be known, for
	// clients that ask late and clocks that differ.
	forgetLater = time.Minute
	// forgetMost bounds the jobs that are dropped at a time.
	forgetMost = 200
)

// forgetOld drops jobs that ended long ago, here and in the store.
func (owner *Owner) forgetOld(held *shard, now time.Time) {
	if now.Sub(held.forgotAt) < forgetEvery {
		return
	}
	held.forgotAt = now
	var handed []platform.Record
	for id, made := range held.jobs {
		if !held.durable[id] || held.live[id] != nil || now.Sub(made.EndedAt()) < owner.options.StatusKept+forgetLater || len(handed) >= forgetMost {
			continue
		}
		delete(held.jobs, id)
		delete(held.durable, id)
		held.dropped = append(held.dropped, platform.Record{Key: id})
		handed = append(handed, platform.Record{Key: job.SubmissionKey(id)})
		if held.cancelled[id] {
			delete(held.cancelled, id)
			handed = append(handed, platform.Record{Key: job.CancellationKey(id)})
		}
	}
	if len(handed) > 0 {
		go owner.dropHanded(held, handed)
	}
}

// dropHanded drops submissions and cancellations from the store. It is tried
// once: what stays is found and dropped by the next owner.
func (owner *Owner) dropHanded(held *shard, records []platform.Record) {
	ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
	defer cancel()
	add := platform.Append{Topic: job.TopicJobs, Part: held.number, Records: records}
	if _, err := owner.options.Store.Append(ctx, add); err != nil {
		owner.options.Events.Log(owner.ctx, event.AppendRetried, slog.String("call", "drop"), slog.Int("shard", held.number), slog.Any("error", err))
	}
}

// tend does what is due for a shard.
func (owner *Owner) tend(held *shard, now time.Time) {
	if !held.active {
		return
	}
	owner.forgetOld(held, now)
}
