package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

// suspicionTracker notes since when this entry has known of a suspicion. It counts
// anew after a restart, so it can only wait too long.
type suspicionTracker struct {
	mu      sync.Mutex
	active  map[string]activeSuspicion
	missing map[string]time.Time
	// ended is when the newest suspicion of a worker was seen to have ended:
	// another entry had heard its guard.
	ended map[string]endedSuspicion
}

type activeSuspicion struct {
	number uint64
	since  time.Time
}

// activeSince returns since when this entry has known of the worker's suspicion.
func (noted *suspicionTracker) activeSince(worker string, number uint64, now time.Time) time.Time {
	noted.mu.Lock()
	defer noted.mu.Unlock()
	present, found := noted.active[worker]
	if !found || present.number != number {
		present = activeSuspicion{number: number, since: now}
		noted.active[worker] = present
	}
	return present.since
}

type endedSuspicion struct {
	number  uint64
	endedAt time.Time
}

// lastEndedAt notes that a worker is under no suspicion after a number of them, and
// returns when the newest was seen to have ended, zero if there was none.
func (noted *suspicionTracker) lastEndedAt(worker string, number uint64, now time.Time) time.Time {
	noted.mu.Lock()
	defer noted.mu.Unlock()
	if number > noted.ended[worker].number {
		noted.ended[worker] = endedSuspicion{number: number, endedAt: now}
	}
	return noted.ended[worker].endedAt
}

// missingSince returns since when a worker that holds tasks has been missing.
func (noted *suspicionTracker) missingSince(worker string, now time.Time) time.Time {
	noted.mu.Lock()
	defer noted.mu.Unlock()
	if _, found := noted.missing[worker]; !found {
		noted.missing[worker] = now
	}
	return noted.missing[worker]
}

// checkTimeouts suspects workers whose guards are silent and releases the
// attempts on those whose leases must have ended. It returns the records to
// propose.
func (entry *Entry) checkTimeouts(folded *state.State, now time.Time) []*record.Record {
	var records []*record.Record
	for _, worker := range folded.Workers() {
		if !entry.isResponsibleFor(worker, now) {
			continue
		}
		suspicion := folded.ActiveSuspicion(worker)
		if suspicion == 0 {
			if entry.hasTimedOut(worker, folded.SuspicionCount(worker), now) {
				records = append(records, newSuspectRecord(worker, now))
			}
			continue
		}
		since := entry.suspicions.activeSince(worker, suspicion, now)
		for _, task := range folded.TasksOnWorker(worker) {
			if now.Sub(since) > lease.ExpiryWait(task.Lease(), offerTime) {
				records = append(records, newLostRecord(task, suspicion, now))
			}
		}
	}
	return records
}

// hasTimedOut reports whether nobody has heard the worker's guard for too long, as
// far as this entry knows.
func (entry *Entry) hasTimedOut(worker string, suspicions uint64, now time.Time) bool {
	settings := entry.documents.Config()
	if settings == nil || now.Sub(entry.suspicions.lastEndedAt(worker, suspicions, now)) <= settings.Limits().WorkerSilent() {
		return false
	}
	guard := entry.view.Guard(worker)
	if guard != nil {
		return entry.view.HasTimedOut(guard, now)
	}
	return now.Sub(entry.suspicions.missingSince(worker, now)) > settings.Limits().WorkerSilent()
}

func newSuspectRecord(worker string, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_WorkerSuspect{WorkerSuspect: &record.WorkerSuspect{Worker: worker}}
	return rec
}

func newLostRecord(task *state.Task, suspicion uint64, now time.Time) *record.Record {
	rec := newReleaseRecord(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_LOST, "its worker was silent until its lease had ended", nil, now)
	rec.GetTaskRelease().Suspicion = suspicion
	return rec
}

// updateSuspicions is the regular look for silent workers.
func (entry *Entry) updateSuspicions(ctx context.Context) {
	now := entry.now()
	if !entry.isLogFresh(now) {
		return
	}
	var records []*record.Record
	entry.journal.View(func(folded *state.State) { records = entry.checkTimeouts(folded, now) })
	if len(records) == 0 {
		return
	}
	for index, outcome := range entry.propose(ctx, records...) {
		if !outcome.IsAccepted() {
			continue
		}
		if suspect := records[index].GetWorkerSuspect(); suspect != nil {
			entry.options.Events.Log(ctx, event.WorkerSuspected, slog.String("worker", suspect.GetWorker()))
			continue
		}
		entry.options.Events.Log(ctx, event.AttemptLost, slog.String("task", records[index].GetTaskRelease().GetTask()))
	}
}
