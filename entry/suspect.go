package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/journal"
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
		suspicion := folded.Suspicion(worker)
		if suspicion == 0 {
			if entry.silent(worker, now) {
				records = append(records, suspectRecord(worker, now))
			}
			continue
		}
		since := entry.suspects.known(worker, suspicion, now)
		for _, task := range folded.OnWorker(worker) {
			if now.Sub(since) > lease.CountedOut(task.Lease(), offerTime) {
				records = append(records, lostRecord(task, suspicion, now))
			}
		}
	}
	return records
}

func (entry *Entry) silent(worker string, now time.Time) bool {
	guard := entry.view.Guard(worker)
	if guard != nil {
		return entry.view.Silent(guard, now)
	}
	settings := entry.shelf.Config()
	return settings != nil && now.Sub(entry.suspects.missingSince(worker, now)) > settings.Limits().WorkerSilent()
}

func suspectRecord(worker string, now time.Time) *record.Record {
	rec := journal.NewRecord(now)
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
