// Package changelog maintains one instance's replica of the state that results
// from the platform's log, and proposes changes to it.
//
// A Journal follows the log: it restores the newest complete snapshot, applies
// the records after it and keeps applying new ones as the log grows. Append
// proposes records and returns once this instance has applied them, with the
// same outcomes that every other instance computes. Proposals of concurrent
// callers are combined into one append, and the rate of appends is limited.
//
// The response to an append can be lost after the append took effect. The
// journal makes no assumption then: it appends the same batch again, which
// readers ignore as a duplicate if the first copy arrived, and takes the outcome
// only from what it reads back. If the caller's context ends first, Append
// returns an [UnsettledError] if the records may still take effect, and a
// [NotAppendedError] if they never will.
//
// # Usage
//
//	journal := changelog.New(service, changelog.Options{Writer: "entry-1"})
//	go journal.Run(ctx)
//	outcomes, err := journal.Append(ctx, rec)
//	journal.View(func(st *state.State) { ... })
package changelog

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

const (
	// RecordStream is the stream of the log that holds batches of records.
	RecordStream = "ambertiller.records"
	// SnapshotStream is the stream of the log that holds chunks of snapshots.
	SnapshotStream = "ambertiller.snapshots"
)

const (
	defaultAppendsPerSecond = 100
	defaultSnapshotEvery    = 20_000
	// appendBurst is the number of appends that may exceed the rate at once.
	appendBurst = 10
	// maxReadEntries limits a read of records.
	maxReadEntries = 512
	// readWait is how long the platform holds a read at the end of the log open.
	readWait = time.Second
	// queueCapacity bounds the proposals that wait to be sent.
	queueCapacity = 4096
)

// ErrHalted is the cause of all failures once the log requires a record format
// that this build does not support.
var ErrHalted = errors.New("the log needs a newer build; replace this instance")

// UnsettledError reports that the outcome of an append is not known. Its records
// may have taken effect or may still do so.
type UnsettledError struct {
	cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return "the log has not settled the append: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.cause }

// NotAppendedError reports that the records of an append did not take effect and
// never will.
type NotAppendedError struct {
	cause error
}

// Error implements error.
func (e *NotAppendedError) Error() string {
	return "nothing was appended to the log: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *NotAppendedError) Unwrap() error { return e.cause }

// Options configures a Journal. Zero values select the defaults.
type Options struct {
	// Writer is the name of this instance, which is written to its batches.
	Writer string
	// AppendsPerSecond limits the rate at which this instance appends to the
	// log. Default 100.
	AppendsPerSecond float64
	// SnapshotEvery is the number of log entries after which the next snapshot
	// is due. Default 20,000.
	SnapshotEvery int64
	// KnownFormat is the highest record format that this instance supports.
	// Default state.LatestFormat.
	KnownFormat uint32
	// Clock times reads and the delays between retries. Default the real clock.
	Clock clockwork.Clock
	// Events receives the log lines. Default none.
	Events *event.Logger
}

// Journal is one instance's replica of the state, kept up to date from the log.
// It is safe for concurrent use.
type Journal struct {
	service logservice.Service
	options Options
	limiter *rate.Limiter
	queue   chan *proposal

	// recordLimit and snapshotLimit limit the reads of the two streams. Only follow uses them.
	recordLimit   readLimit
	snapshotLimit readLimit
	// restoring is the read of the snapshot to start from, nil if none is in progress. Only follow uses it.
	restoring *snapshotRead

	// mu guards all fields below.
	mu    sync.Mutex
	state *state.State
	// pendingProposals holds, by record ID, the proposals that wait for outcomes.
	pendingProposals map[string]*proposal
	// changed is closed and replaced after each batch.
	changed  chan struct{}
	syncedAt time.Time
	// endOffset is the end of the log as of the latest read.
	endOffset int64
	// caughtUp is set once a read has reached the end of the log.
	caughtUp bool
	// haltErr is set once the log requires a format that is not supported.
	haltErr error
	// snapshotOffset is the offset of the newest snapshot that is known.
	snapshotOffset int64
}

// New returns a Journal on the platform's log. It neither reads nor appends until
// Run is called.
func New(service logservice.Service, options Options) *Journal {
	if options.AppendsPerSecond == 0 {
		options.AppendsPerSecond = defaultAppendsPerSecond
	}
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = defaultSnapshotEvery
	}
	if options.KnownFormat == 0 {
		options.KnownFormat = state.LatestFormat
	}
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Events == nil {
		options.Events = event.Discard()
	}
	return &Journal{
		service:          service,
		options:          options,
		recordLimit:      newReadLimit(maxReadEntries),
		snapshotLimit:    newReadLimit(maxSnapshotReadEntries),
		limiter:          rate.NewLimiter(rate.Limit(options.AppendsPerSecond), appendBurst),
		queue:            make(chan *proposal, queueCapacity),
		state:            state.NewForFormat(options.KnownFormat),
		pendingProposals: map[string]*proposal{},
		changed:          make(chan struct{}),
	}
}

// Run reads the log and sends proposals until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { j.follow(ctx) })
	loops.Go(func() { j.sendProposals(ctx) })
	loops.Wait()
}

// NewRecord returns a record without a body, with a new ID, that requires only the
// first format.
func NewRecord(now time.Time) *record.Record {
	return &record.Record{
		Id:              uuid.NewString(),
		Format:          state.FirstFormat,
		WrittenUnixNano: now.UnixNano(),
	}
}

// View calls read with the state while it holds the lock. The state must not be
// modified, or used after read returns.
func (j *Journal) View(read func(st *state.State)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	read(j.state)
}

// Changed returns a channel that is closed after the next batch has been applied.
// Call it again for the batch after that.
func (j *Journal) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed
}

// SyncedAt returns when the latest read that reached the end of the log was
// started. Every append that was acknowledged before that time is in the state.
// It is zero until a read has reached the end.
func (j *Journal) SyncedAt() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.syncedAt
}

// Lag returns how many entries of the log have not been applied yet, as of the
// latest read.
func (j *Journal) Lag() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(0, j.endOffset-j.state.NextOffset())
}

// Ready returns nil if the instance has applied the log up to its end since it
// started, so that it may make decisions. Otherwise it returns the reason.
func (j *Journal) Ready() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.haltErr != nil {
		return j.haltErr
	}
	if !j.caughtUp {
		return errors.New("the log has not been read to its end since the start")
	}
	return nil
}

func (j *Journal) logEvent(ctx context.Context, code event.Code, attributes ...slog.Attr) {
	j.options.Events.Log(ctx, code, attributes...)
}

// QueueLength returns the number of proposals that wait to be sent.
func (j *Journal) QueueLength() int { return len(j.queue) }
