// Package changelog keeps one instance's copy of the state that is folded from
// the log, and proposes changes to it.
//
// A Journal follows the log: it restores the newest whole snapshot, folds what
// came after it, and goes on folding as the log grows. Append proposes records
// and returns once the instance has itself folded them, with the outcome that
// every other instance sees as well. Proposals of many callers share an
// append, and the number of appends a second is bounded.
//
// The answer of an append can be lost after it took effect. The journal never
// guesses: it sends the same batch again, which the fold passes over if the
// first copy is there, and believes only what it reads. When the caller's
// context ends first, Append returns [UnsettledError] if the records may still
// take effect and [NotAppendedError] if they never will.
//
// # Usage
//
//	log := changelog.New(service, journal.Options{Writer: "entry-1"})
//	go log.Run(ctx)
//	outcomes, err := log.Append(ctx, rec)
//	log.View(func(folded *state.State) { ... })
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

// Streams of the log that a journal uses.
const (
	RecordStream   = "ambertiller.records"
	SnapshotStream = "ambertiller.snapshots"
)

const (
	defaultAppendsPerSecond = 100
	defaultSnapshotEvery    = 20_000
	appendBurst             = 10
	maxReadEntries          = 512
	readWait                = time.Second
	queueCapacity           = 4096
)

// ErrHalted is the cause of failures after the log needed a newer build.
var ErrHalted = errors.New("the log needs a newer build; replace this instance")

// UnsettledError says that records may or may not take effect later.
type UnsettledError struct {
	cause error
}

// Error implements error.
func (unsettled *UnsettledError) Error() string {
	return "the log has not settled the append: " + unsettled.cause.Error()
}

// Unwrap returns the cause.
func (unsettled *UnsettledError) Unwrap() error { return unsettled.cause }

// NotAppendedError says that records did not and will not take effect.
type NotAppendedError struct {
	cause error
}

// Error implements error.
func (failed *NotAppendedError) Error() string {
	return "nothing was appended to the log: " + failed.cause.Error()
}

// Unwrap returns the cause.
func (failed *NotAppendedError) Unwrap() error { return failed.cause }

// Options sets up a Journal. Zero values stand for the defaults.
type Options struct {
	// Writer names the instance in its batches.
	Writer string
	// AppendsPerSecond bounds this instance's share of the log. Default 100.
	AppendsPerSecond float64
	// SnapshotEvery is the number of entries of the log after which a snapshot
	// is due. Default 20,000.
	SnapshotEvery int64
	// KnownFormat is the newest record format this instance reads. Default
	// state.LatestFormat.
	KnownFormat uint32
	// Clock paces retries. Default the real clock.
	Clock clockwork.Clock
	// Events receives log lines. Default none.
	Events *event.Logger
}

// Journal is one instance's copy of the folded log.
type Journal struct {
	service logservice.Service
	options Options
	limiter *rate.Limiter
	queue   chan *proposal

	mu               sync.Mutex
	state            *state.State
	pendingProposals map[string]*proposal
	changed          chan struct{}
	syncedAt         time.Time
	endOffset        int64
	caughtUp         bool
	haltErr          error
	snapshotOffset   int64
}

// New returns a Journal over the platform's log. Run makes it follow.
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
		limiter:          rate.NewLimiter(rate.Limit(options.AppendsPerSecond), appendBurst),
		queue:            make(chan *proposal, queueCapacity),
		state:            state.NewForFormat(options.KnownFormat),
		pendingProposals: map[string]*proposal{},
		changed:          make(chan struct{}),
	}
}

// Run follows the log and sends proposals until ctx ends.
func (log *Journal) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { log.follow(ctx) })
	loops.Go(func() { log.sendProposals(ctx) })
	loops.Wait()
}

// NewRecord returns a record with a fresh ID that needs the first format.
func NewRecord(now time.Time) *record.Record {
	return &record.Record{
		Id:              uuid.NewString(),
		Format:          state.FirstFormat,
		WrittenUnixNano: now.UnixNano(),
	}
}

// View calls look with the state. The state must not be kept or changed.
func (log *Journal) View(look func(folded *state.State)) {
	log.mu.Lock()
	defer log.mu.Unlock()
	look(log.state)
}

// Changed returns a channel that is closed when the state next changes.
func (log *Journal) Changed() <-chan struct{} {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.changed
}

// SyncedAt returns the time at which the last read that reached the end of the
// log began: every append that was answered before it is in the state. It is
// zero until there was one.
func (log *Journal) SyncedAt() time.Time {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.syncedAt
}

// Lag returns how many entries of the log, as last seen, are not folded yet.
func (log *Journal) Lag() int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return max(0, log.endOffset-log.state.NextOffset())
}

// Ready returns nil once the instance has folded the log to its end and may
// decide, and otherwise why not.
func (log *Journal) Ready() error {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.haltErr != nil {
		return log.haltErr
	}
	if !log.caughtUp {
		return errors.New("the log has not been read to its end since the start")
	}
	return nil
}

func (log *Journal) logEvent(ctx context.Context, code event.Code, attributes ...slog.Attr) {
	log.options.Events.Log(ctx, code, attributes...)
}

// QueueLength returns how many proposals wait to be sent.
func (log *Journal) QueueLength() int { return len(log.queue) }
