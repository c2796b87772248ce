// Package claim ensures that a request which must not be repeated is run by at most
// one of many instances, by means of the log that they share.
//
// An instance acquires a claim on the request's key before it runs the request. The
// first claim in the log wins. A claim is released if the request is known not to
// have run, and finished otherwise. An end that is not in the log yet is appended in
// the background until the log accepts it. Each acquisition has a holder name of its
// own, so a claim that reaches the log after its request was abandoned is recognized
// and released.
//
// # Usage
//
//	claims := claim.New(claim.Options{Journal: log, Instance: "entry-1"})
//	go claims.Run(ctx)
//	held, err := claims.Acquire(ctx, "bill-7", "verbale", now)
//	if err != nil { ... not run by this instance ... }
//	claims.Finish(held, http.StatusOK, false, now)
//
// # Errors
//
// [*TakenError] says what became of the request that has claimed the key. After
// [ErrLogDown], [*UnsettledError] and [ErrConcurrentClaim] this instance must not
// run the request either.
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
	// maxEndsPerAppend bounds the number of ends in one append.
	maxEndsPerAppend = 128
	// lateAppendWindow is how long an append without an answer can still take effect.
	// It is bounded because the journal sends a batch only while a caller waits for it.
	lateAppendWindow = 30 * time.Second
)

// ErrLogDown is returned if the instance has not read the whole log yet, or not recently
// enough to claim a key.
var ErrLogDown = errors.New("the log, in which the request is claimed, can't be reached")

// ErrConcurrentClaim is returned if another holder claimed the key first and has
// already released it again.
var ErrConcurrentClaim = errors.New("another request with the same key was claimed and given back meanwhile")

// TakenError is returned for a key that is claimed, or whose request has ended.
type TakenError struct {
	phase  state.ClaimPhase
	status int
}

// Phase returns the phase of the request that claimed the key.
func (e *TakenError) Phase() state.ClaimPhase { return e.phase }

// Status returns the HTTP status of the answer to that request, 0 if there is none.
func (e *TakenError) Status() int { return e.status }

// Error implements error.
func (e *TakenError) Error() string { return "the key is claimed" }

// UnsettledError is returned if the claim could not be appended, or if the log did not
// accept or reject it in time.
type UnsettledError struct {
	cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return "the claim on the request was not settled: " + e.cause.Error()
}

// Unwrap returns the error of the append.
func (e *UnsettledError) Unwrap() error { return e.cause }

// Claim is a claim on a key that this instance holds.
type Claim struct {
	key    string
	holder string
}

// Key returns the claimed key.
func (claim *Claim) Key() string { return claim.key }

// Options configures a Manager.
type Options struct {
	// Journal is the instance's copy of the shared state.
	Journal *changelog.Journal
	// Instance is the name of the instance, the first part of its holder names.
	Instance string
	// MaxLogAge is the age of the last complete read of the log from which on the
	// log counts as down. The default is 3 s.
	MaxLogAge time.Duration
	// Clock times the retries. The default is the real clock.
	Clock clockwork.Clock
	// Events receives the log lines. By default they are discarded.
	Events *event.Logger
}

const defaultMaxLogAge = 3 * time.Second

// Manager acquires and ends the claims of one instance. It is safe for concurrent use.
type Manager struct {
	options Options

	mu          sync.Mutex
	pendingEnds map[string]*record.Record // by holder: releases and finishes that are not in the log yet
	wake        chan struct{}
	pending     sync.WaitGroup
}

// New returns a Manager without claims.
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

// Acquire claims a key. If it returns no error, the caller runs the request and ends
// the claim with Release or Finish.
func (manager *Manager) Acquire(ctx context.Context, key, service string, now time.Time) (*Claim, error) {
	log := manager.options.Journal
	if log.Ready() != nil || now.Sub(log.SyncedAt()) >= manager.options.MaxLogAge {
		return nil, ErrLogDown
	}
	// Performance: a key whose request has ended costs no append. A key that is
	// held may have been released since this instance last read the log, so only
	// the log can decide. That happens if a caller retries at once through another
	// instance than the one that released the claim.
	if taken := manager.takenError(key); taken != nil && taken.phase != state.ClaimHeld {
		return nil, taken
	}
	claim := &Claim{key: key, holder: manager.options.Instance + "/" + uuid.NewString()}
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_Claim{Claim: &record.Claim{Key: key, Holder: claim.holder, Service: service}}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	outcomes, err := log.Append(ctx, rec)
	if err != nil {
		return nil, manager.releaseUnsettled(claim, err, now)
	}
	if !outcomes[0].IsAccepted() {
		manager.options.Events.Log(ctx, event.ClaimLost, slog.String("key", key))
		if taken := manager.takenError(key); taken != nil {
			return nil, taken
		}
		return nil, ErrConcurrentClaim
	}
	manager.options.Events.Log(ctx, event.ClaimTaken, slog.String("key", key), slog.String("holder", claim.holder))
	return claim, nil
}

// releaseUnsettled enqueues the release of a claim that may still reach the log,
// and wraps the error of its append.
func (manager *Manager) releaseUnsettled(claim *Claim, err error, now time.Time) error {
	var unsettled *changelog.UnsettledError
	if errors.As(err, &unsettled) {
		manager.enqueueEnd(releaseRecord(claim, now), claim)
	}
	return &UnsettledError{cause: err}
}

// takenError returns how the key is claimed according to the instance's copy of
// the state, or nil if it is not.
func (manager *Manager) takenError(key string) *TakenError {
	var found *TakenError
	manager.options.Journal.View(func(current *state.State) {
		if claimed := current.Claim(key); claimed != nil {
			found = &TakenError{phase: state.ClaimPhase(claimed.GetPhase()), status: int(claimed.GetStatus())}
		}
	})
	return found
}

// releaseRecord returns the record that releases a claim.
func releaseRecord(claim *Claim, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_ClaimRelease{ClaimRelease: &record.ClaimRelease{Key: claim.key, Holder: claim.holder}}
	return rec
}

// Release ends the claim of a request that is known not to have run. It waits
// briefly for the append, so that the caller can retry at once; if that fails, the
// release is appended in the background.
func (manager *Manager) Release(ctx context.Context, claim *Claim, now time.Time) {
	rec := releaseRecord(claim, now)
	manager.options.Events.Log(ctx, event.ClaimReleased, slog.String("key", claim.key))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if _, err := manager.options.Journal.Append(ctx, rec); err != nil {
		manager.enqueueEnd(rec, claim)
	}
}

// Finish records in the background that a claimed request has run or, if unknown is
// set, that it may have run.
func (manager *Manager) Finish(claim *Claim, status int, unknown bool, now time.Time) {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_ClaimFinish{ClaimFinish: &record.ClaimFinish{
		Key:     claim.key,
		Holder:  claim.holder,
		Status:  int32(status),
		Unknown: unknown,
	}}
	manager.enqueueEnd(rec, claim)
}

// enqueueEnd adds the end of a claim to those that are appended in the background
// until the log accepts them.
func (manager *Manager) enqueueEnd(rec *record.Record, claim *Claim) {
	manager.mu.Lock()
	manager.pendingEnds[claim.holder] = rec
	manager.mu.Unlock()
	manager.pending.Add(1)
	select {
	case manager.wake <- struct{}{}:
	default:
	}
}

// Run appends the ends of claims until ctx is done.
func (manager *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-manager.wake:
		}
		for manager.RecordPending(ctx, manager.options.Clock.Now()) > 0 {
			select {
			case <-ctx.Done():
				return
			case <-manager.options.Clock.After(recordRetryInterval):
			}
		}
	}
}

// RecordPending appends one batch of pending ends and returns how many are left.
func (manager *Manager) RecordPending(ctx context.Context, now time.Time) int {
	holders, records := manager.nextBatch()
	if len(records) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	outcomes, err := manager.options.Journal.Append(ctx, records...)
	if err != nil {
		return len(records)
	}
	return manager.removeRecorded(holders, outcomes, now)
}

// nextBatch returns up to maxEndsPerAppend pending ends and their holders.
func (manager *Manager) nextBatch() (holders []string, records []*record.Record) {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	for holder, rec := range manager.pendingEnds {
		if len(holders) == maxEndsPerAppend {
			break
		}
		holders = append(holders, holder)
		records = append(records, rec)
	}
	return holders, records
}

// removeRecorded removes the ends on which the log has decided and returns how many
// are left. An end whose claim is not in the log is kept during lateAppendWindow,
// because the claim may still arrive and must then be released.
func (manager *Manager) removeRecorded(holders []string, outcomes []state.Outcome, now time.Time) int {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	for i, holder := range holders {
		rec, found := manager.pendingEnds[holder]
		if !found {
			continue
		}
		appendMayArrive := now.Sub(time.Unix(0, rec.GetWrittenUnixNano())) < lateAppendWindow
		if outcomes[i].Reason() == state.ReasonUnknown && appendMayArrive {
			continue
		}
		delete(manager.pendingEnds, holder)
		manager.pending.Done()
	}
	return len(manager.pendingEnds)
}

// Wait blocks until no end is pending.
func (manager *Manager) Wait() { manager.pending.Wait() }
