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

// suspects notes since when this entry has known of a suspicion. It counts
// anew after a restart, so it can only wait too long.
type suspects struct {
	mu      sync.Mutex
	since   map[string]knownSuspicion
	missing map[string]time.Time
	// elsewhere is when the newest suspicion of a worker was seen to have ended:
	// another entry had heard its guard.
	elsewhere map[string]endedSuspicion
}

type knownSuspicion struct {
	number uint64
	since  time.Time
}

// known returns since when this entry has known of the worker's suspicion.
func (noted *suspects) known(worker string, number uint64, now time.Time) time.Time {
	noted.mu.Lock()
	defer noted.mu.Unlock()
	present, found := noted.since[worker]
	if !found || present.number != number {
		present = knownSuspicion{number: number, since: now}
		noted.since[worker] = present
	}
	return present.since
}

type endedSuspicion struct {
	number uint64
	at     time.Time
}

// ended notes that a worker is under no suspicion after a number of them, and
// returns when the newest was seen to have ended, zero if there was none.
func (noted *suspects) ended(worker string, number uint64, now time.Time) time.Time {
	noted.mu.Lock()
	defer noted.mu.Unlock()
	if number > noted.elsewhere[worker].number {
		noted.elsewhere[worker] = endedSuspicion{number: number, at: now}
	}
	return noted.elsewhere[worker].at
}

// missingSince returns since when a worker that holds tasks has been missing.
func (noted *suspects) missingSince(worker string, now time.Time) time.Time {
	noted.mu.Lock()
	defer noted.mu.Unlock()
	if _, found := noted.missing[worker]; !found {
		noted.missing[worker] = now
	}
	return noted.missing[worker]
}

// judgeSilence suspects workers whose guards are silent and releases the
// attempts on those whose leases must have ended. It returns the records to
// propose.
func (entry *Entry) judgeSilence(folded *state.State, now time.Time) []*record.Record {
	var records []*record.Record
	for _, worker := range folded.Workers() {
		if !entry.owns(worker, now) {
			continue
		}
		suspicion := folded.ActiveSuspicion(worker)
		if suspicion == 0 {
			if entry.silent(worker, folded.SuspicionCount(worker), now) {
				records = append(records, suspectRecord(worker, now))
			}
			continue
		}
		since := entry.suspects.known(worker, suspicion, now)
		for _, task := range folded.TasksOnWorker(worker) {
			if now.Sub(since) > lease.ExpiryWait(task.Lease(), offerTime) {
				records = append(records, lostRecord(task, suspicion, now))
			}
		}
	}
	return records
}

// silent reports whether nobody has heard the worker's guard for too long, as
// far as this entry knows.
func (entry *Entry) silent(worker string, suspicions uint64, now time.Time) bool {
	settings := entry.shelf.Config()
	if settings == nil || now.Sub(entry.suspects.ended(worker, suspicions, now)) <= settings.Limits().WorkerSilent() {
		return false
	}
	guard := entry.view.Guard(worker)
	if guard != nil {
		return entry.view.Silent(guard, now)
	}
	return now.Sub(entry.suspects.missingSince(worker, now)) > settings.Limits().WorkerSilent()
}

func suspectRecord(worker string, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_WorkerSuspect{WorkerSuspect: &record.WorkerSuspect{Worker: worker}}
	return rec
}

func lostRecord(task *state.Task, suspicion uint64, now time.Time) *record.Record {
	rec := releaseOf(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_LOST, "its worker was silent until its lease had ended", nil, now)
	rec.GetTaskRelease().Suspicion = suspicion
	return rec
}

// watchSilence is the regular look for silent workers.
func (entry *Entry) watchSilence(ctx context.Context) {
	now := entry.now()
	if !entry.logUp(now) {
		return
	}
	var records []*record.Record
	entry.log.View(func(folded *state.State) { records = entry.judgeSilence(folded, now) })
	if len(records) == 0 {
		return
	}
	for index, outcome := range entry.propose(ctx, records...) {
		if !outcome.Accepted() {
			continue
		}
		if suspect := records[index].GetWorkerSuspect(); suspect != nil {
			entry.options.Events.Log(ctx, event.WorkerSuspected, slog.String("worker", suspect.GetWorker()))
			continue
		}
		entry.options.Events.Log(ctx, event.AttemptLost, slog.String("task", records[index].GetTaskRelease().GetTask()))
	}
}
