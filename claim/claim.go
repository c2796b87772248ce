// Package claim makes sure that a request which must not be repeated is run by
// at most one of many instances, through the log that they share.
//
// An instance takes a claim on the request's key before it runs it. The first
// claim in the log wins. A claim is given back when the request has proved not
// to have run, and ended otherwise; the ends are recorded in the background
// until the log takes them. A holder's name is used once, so a claim that the
// log takes late, after its request was given up, is recognised and given back.
//
// # Usage
//
//	claims := claim.New(claim.Options{Journal: log, Instance: "entry-1"})
//	go claims.Run(ctx)
//	held, err := claims.Take(ctx, "bill-7", "verbale", now)
//	if err != nil { ... not run by this instance ... }
//	claims.Finish(held, http.StatusOK, false)
//
// # Errors
//
// [*TakenError] says what became of the request that has the key. [ErrLogDown],
// [*UnsettledError] and [ErrConcurrentClaim] say that this instance must not run it.
package claim

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

const (
	acquireTimeout      = time.Second
	releaseTimeout      = 250 * time.Millisecond
	recordTimeout       = 2 * time.Second
	recordRetryInterval = 500 * time.Millisecond
	// maxEndsPerAppend is how many ends are recorded in one append.
	maxEndsPerAppend = 128
	// lateAppendWindow is how long an append without an answer can still take effect:
	// the journal sends a batch only while somebody waits for it.
	lateAppendWindow = 30 * time.Second
)

// ErrLogDown says that the log can't be reached.
var ErrLogDown = errors.New("the log, in which the request is claimed, can't be reached")

// ErrConcurrentClaim says that another holder had the key and gave it back meanwhile.
var ErrConcurrentClaim = errors.New("another request with the same key was claimed and given back meanwhile")

// TakenError says that the key is claimed.
type TakenError struct {
	phase  state.ClaimPhase
	status int
}

// Phase returns what became of the request that has the key.
func (taken *TakenError) Phase() state.ClaimPhase { return taken.phase }

// Status returns the status of its answer, if it has one.
func (taken *TakenError) Status() int { return taken.status }

// Error implements error.
func (taken *TakenError) Error() string { return "the key is claimed" }

// UnsettledError says that the log did not settle the claim in time.
type UnsettledError struct {
	cause error
}

// Error implements error.
func (unsettled *UnsettledError) Error() string {
	return "the claim on the request was not settled: " + unsettled.cause.Error()
}

// Unwrap returns the cause.
func (unsettled *UnsettledError) Unwrap() error { return unsettled.cause }

// Claim is a claim that this instance holds.
type Claim struct {
	key    string
	holder string
}

// Key returns the claimed key.
func (held *Claim) Key() string { return held.key }

// Options sets up Claims.
type Options struct {
	// Journal is the instance's copy of the shared state.
	Journal *changelog.Journal
	// Instance names the instance.
	Instance string
	// MaxLogAge is how old the newest whole read of the log may be before the
	// log counts as down. Default 3 s.
	MaxLogAge time.Duration
	// Clock paces retries. Default the real clock.
	Clock clockwork.Clock
	// Events receives log lines. Default none.
	Events *event.Logger
}

const defaultMaxLogAge = 3 * time.Second

// Manager takes and ends the claims of one instance. It may be used by many
// goroutines.
type Manager struct {
	options Options

	mu          sync.Mutex
	pendingEnds map[string]*record.Record // by holder: what must still be recorded
	wake        chan struct{}
	pending     sync.WaitGroup
}

// New returns Claims that hold nothing.
func New(options Options) *Manager {
	if options.MaxLogAge == 0 {
		options.MaxLogAge = defaultMaxLogAge
	}
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.Events == nil {
		options.Events = event.Discard()
	}
	return &Manager{options: options, pendingEnds: map[string]*record.Record{}, wake: make(chan struct{}, 1)}
}

// Acquire claims a key. Without an error the caller runs the request and ends the
// claim with Release or Finish.
func (claims *Manager) Acquire(ctx context.Context, key, service string, now time.Time) (*Claim, error) {
	log := claims.options.Journal
	if log.Ready() != nil || now.Sub(log.SyncedAt()) >= claims.options.MaxLogAge {
		return nil, ErrLogDown
	}
	// Performance: a key whose request has ended costs no append. One that is
	// held may have been given back since this instance last read the log, so
	// that is for the log to say: the case is a caller who comes back at once to
	// another instance than the one that gave the claim back.
	if taken := claims.takenError(key); taken != nil && taken.phase != state.ClaimHeld {
		return nil, taken
	}
	held := &Claim{key: key, holder: claims.options.Instance + "/" + uuid.NewString()}
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_Claim{Claim: &record.Claim{Key: key, Holder: held.holder, Service: service}}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	outcomes, err := log.Append(ctx, rec)
	if err != nil {
		return nil, claims.releaseUnsettled(held, err, now)
	}
	if !outcomes[0].IsAccepted() {
		claims.options.Events.Log(ctx, event.ClaimLost, slog.String("key", key))
		if taken := claims.takenError(key); taken != nil {
			return nil, taken
		}
		return nil, ErrConcurrentClaim
	}
	claims.options.Events.Log(ctx, event.ClaimTaken, slog.String("key", key), slog.String("holder", held.holder))
	return held, nil
}

// releaseUnsettled makes sure that a claim which may still come is given back.
func (claims *Manager) releaseUnsettled(held *Claim, err error, now time.Time) error {
	var open *changelog.UnsettledError
	if errors.As(err, &open) {
		claims.enqueueEnd(releaseRecord(held, now), held)
	}
	return &UnsettledError{cause: err}
}

// takenError answers from the state whether the key is claimed.
func (claims *Manager) takenError(key string) *TakenError {
	var found *TakenError
	claims.options.Journal.View(func(folded *state.State) {
		if kept := folded.Claim(key); kept != nil {
			found = &TakenError{phase: state.ClaimPhase(kept.GetPhase()), status: int(kept.GetStatus())}
		}
	})
	return found
}

func releaseRecord(held *Claim, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_ClaimRelease{ClaimRelease: &record.ClaimRelease{Key: held.key, Holder: held.holder}}
	return rec
}

// Release gives a claim back, because its request has proved not to have run.
// It waits a little, so that the caller can come back at once.
func (claims *Manager) Release(ctx context.Context, held *Claim, now time.Time) {
	rec := releaseRecord(held, now)
	claims.options.Events.Log(ctx, event.ClaimReleased, slog.String("key", held.key))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if _, err := claims.options.Journal.Append(ctx, rec); err != nil {
		claims.enqueueEnd(rec, held)
	}
}

// Finish records in the background that a claimed request has run, or may have.
func (claims *Manager) Finish(held *Claim, status int, maybe bool, now time.Time) {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_ClaimFinish{ClaimFinish: &record.ClaimFinish{
		Key:     held.key,
		Holder:  held.holder,
		Status:  int32(status),
		Unknown: maybe,
	}}
	claims.enqueueEnd(rec, held)
}

// enqueueEnd records the end of a claim in the background, until the log takes it.
func (claims *Manager) enqueueEnd(rec *record.Record, held *Claim) {
	claims.mu.Lock()
	claims.pendingEnds[held.holder] = rec
	claims.mu.Unlock()
	claims.pending.Add(1)
	select {
	case claims.wake <- struct{}{}:
	default:
	}
}

// Run records the ends of claims until ctx ends.
func (claims *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-claims.wake:
		}
		for claims.RecordPending(ctx, claims.options.Clock.Now()) > 0 {
			select {
			case <-ctx.Done():
				return
			case <-claims.options.Clock.After(recordRetryInterval):
			}
		}
	}
}

// RecordPending makes one round of recording the ends that are due and returns how
// many are left.
func (claims *Manager) RecordPending(ctx context.Context, now time.Time) int {
	holders, records := claims.nextBatch()
	if len(records) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	outcomes, err := claims.options.Journal.Append(ctx, records...)
	if err != nil {
		return len(records)
	}
	return claims.removeRecorded(holders, outcomes, now)
}

func (claims *Manager) nextBatch() (holders []string, records []*record.Record) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	for holder, rec := range claims.pendingEnds {
		if len(holders) == maxEndsPerAppend {
			break
		}
		holders = append(holders, holder)
		records = append(records, rec)
	}
	return holders, records
}

// removeRecorded drops what has been recorded. An end whose claim the log has not seen
// stays: the claim may still come, and must then be given back.
func (claims *Manager) removeRecorded(holders []string, outcomes []state.Outcome, now time.Time) int {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	for index, holder := range holders {
		rec, open := claims.pendingEnds[holder]
		if !open {
			continue
		}
		early := now.Sub(time.Unix(0, rec.GetWrittenUnixNano())) < lateAppendWindow
		if outcomes[index].Reason() == state.ReasonUnknown && early {
			continue
		}
		delete(claims.pendingEnds, holder)
		claims.pending.Done()
	}
	return len(claims.pendingEnds)
}

// Wait waits until every end is recorded.
func (claims *Manager) Wait() { claims.pending.Wait() }
