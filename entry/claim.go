package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/journal"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

const (
	claimWait   = time.Second
	releaseWait = 250 * time.Millisecond
	claimRetry  = 500 * time.Millisecond
)

// claims takes and ends the claims on requests that must not be repeated.
//
// A holder is named once and never used again, so a claim that the log takes
// late, after its request was given up, is recognised and given back.
type claims struct {
	entry *Entry

	mu    sync.Mutex
	ends  map[string]*record.Record // by holder: what must still be recorded
	wake  chan struct{}
	doing sync.WaitGroup
}

func newClaims(entry *Entry) *claims {
	return &claims{entry: entry, ends: map[string]*record.Record{}, wake: make(chan struct{}, 1)}
}

// heldClaim is a claim that this entry holds.
type heldClaim struct {
	key    string
	holder string
}

// take claims a key in the log. It returns a problem when the request must not
// be run by this entry.
func (taking *claims) take(ctx context.Context, key, service string) (*heldClaim, *api.Problem) {
	entry := taking.entry
	now := entry.now()
	if !entry.logUp(now) {
		return nil, notRun("the request must not be repeated and the log, in which it is claimed, can't be reached", retryLog)
	}
	if sent := taking.seen(key); sent != nil {
		return nil, sent
	}
	held := &heldClaim{key: key, holder: entry.options.Name + "/" + uuid.NewString()}
	rec := journal.NewRecord(now)
	rec.Body = &record.Record_Claim{Claim: &record.Claim{Key: key, Holder: held.holder, Service: service}}
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	outcomes, err := entry.log.Append(ctx, rec)
	if err != nil {
		var unsettled *journal.UnsettledError
		if errors.As(err, &unsettled) {
			taking.end(releaseRecord(held, now), held)
		}
		return nil, notRun("the claim on the request was not settled: "+err.Error(), retryLog)
	}
	if !outcomes[0].Accepted() {
		entry.options.Events.Log(ctx, event.ClaimLost, slog.String("key", key))
		return nil, taking.lost(key)
	}
	entry.options.Events.Log(ctx, event.ClaimTaken, slog.String("key", key), slog.String("holder", held.holder))
	return held, nil
}

// seen answers from the state, without an append, when the key is taken.
func (taking *claims) seen(key string) *api.Problem {
	var sent *api.Problem
	taking.entry.log.View(func(folded *state.State) {
		if claim := folded.Claim(key); claim != nil {
			sent = claimProblem(claim)
		}
	})
	return sent
}

func (taking *claims) lost(key string) *api.Problem {
	if sent := taking.seen(key); sent != nil {
		return sent
	}
	return notRun("another request with the same key was claimed and given back meanwhile", retryLog)
}

// claimProblem says what became of the request that holds the key.
func claimProblem(claim *record.ClaimState) *api.Problem {
	made := problem(http.StatusConflict, api.TypeClaimed, "A request with this key was claimed before", "")
	made.Outcome = api.OutcomeUnknown
	switch state.ClaimPhase(claim.GetPhase()) {
	case state.ClaimFinished:
		made.Detail = fmt.Sprintf("it has run and its answer had status %d; the answer itself is not kept", claim.GetStatus())
	case state.ClaimUnknown:
		made.Detail = "it may have run; ask the backend server before sending it under another key"
	default:
		made.Detail = "it is being run, or the entry that ran it has gone; it will not be run again under this key"
		made.RetryAfter = retryLog.String()
	}
	return made
}

func releaseRecord(held *heldClaim, now time.Time) *record.Record {
	rec := journal.NewRecord(now)
	rec.Body = &record.Record_ClaimRelease{ClaimRelease: &record.ClaimRelease{Key: held.key, Holder: held.holder}}
	return rec
}

// release gives a claim back, because its request has proved not to have run.
// It waits a little, so that the caller can come back at once.
func (taking *claims) release(ctx context.Context, held *heldClaim) {
	entry := taking.entry
	rec := releaseRecord(held, entry.now())
	entry.options.Events.Log(ctx, event.ClaimReleased, slog.String("key", held.key))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseWait)
	defer cancel()
	if _, err := entry.log.Append(ctx, rec); err != nil {
		taking.end(rec, held)
	}
}

// finish records in the background that a claimed request has run, or may have.
func (taking *claims) finish(held *heldClaim, status int, maybe bool) {
	rec := journal.NewRecord(taking.entry.now())
	rec.Body = &record.Record_ClaimFinish{ClaimFinish: &record.ClaimFinish{
		Key:     held.key,
		Holder:  held.holder,
		Status:  int32(status),
		Unknown: maybe,
	}}
	taking.end(rec, held)
}

// end records the end of a claim in the background, until the log takes it.
func (taking *claims) end(rec *record.Record, held *heldClaim) {
	taking.mu.Lock()
	taking.ends[held.holder] = rec
	taking.mu.Unlock()
	taking.doing.Add(1)
	select {
	case taking.wake <- struct{}{}:
	default:
	}
}

func (taking *claims) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-taking.wake:
		}
		for taking.flush(ctx) > 0 {
			select {
			case <-ctx.Done():
				return
			case <-taking.entry.options.Clock.After(claimRetry):
			}
		}
	}
}

// RecordEnds makes one round of recording the ends of claims.
func (entry *Entry) RecordEnds(ctx context.Context) { entry.claims.flush(ctx) }

// mostEnds is how many ends are recorded in one append.
const mostEnds = 128

// flush tries to record the ends that are due and returns how many are left.
func (taking *claims) flush(ctx context.Context) int {
	taking.mu.Lock()
	var holders []string
	var records []*record.Record
	for holder, rec := range taking.ends {
		if len(holders) == mostEnds {
			break
		}
		holders = append(holders, holder)
		records = append(records, rec)
	}
	taking.mu.Unlock()
	if len(records) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	outcomes, err := taking.entry.log.Append(ctx, records...)
	if err != nil {
		return len(records)
	}
	return taking.noteEnds(holders, outcomes)
}

// noteEnds drops what has been recorded. An end whose claim the log has not
// seen stays: the claim may still come, and must then be given back.
func (taking *claims) noteEnds(holders []string, outcomes []state.Outcome) int {
	taking.mu.Lock()
	defer taking.mu.Unlock()
	for index, holder := range holders {
		if _, open := taking.ends[holder]; !open {
			continue
		}
		late := outcomes[index].Reason() == state.ReasonUnknown && taking.entry.now().Sub(writtenAt(taking.ends[holder])) < lateClaim
		if late {
			continue
		}
		delete(taking.ends, holder)
		taking.doing.Done()
	}
	return len(taking.ends)
}

// lateClaim is how long an append without an answer can still take effect: the
// journal sends a batch only while somebody waits for it.
const lateClaim = 30 * time.Second

func writtenAt(rec *record.Record) time.Time { return time.Unix(0, rec.GetWrittenUnixNano()) }

// settle waits until every end is recorded.
func (taking *claims) settle() { taking.doing.Wait() }
