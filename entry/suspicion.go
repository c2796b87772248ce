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

// suspicionTracker records when this entry first saw the suspicion of each worker.
// The times restart with the process. An entry may therefore wait longer than
// needed for leases to expire, but never less.
type suspicionTracker struct {
	mu     sync.Mutex
	active map[string]activeSuspicion
	// missing has the time at which this entry first found that it had no report of
	// the guard of a worker that holds tasks.
	missing map[string]time.Time
	// ended has the time at which this entry saw that the newest suspicion of a
	// worker had ended, because some entry had received a report of its guard.
	ended map[string]endedSuspicion
}

type activeSuspicion struct {
	number uint64
	since  time.Time
}

// activeSince returns when this entry first saw the suspicion with this number.
func (tracker *suspicionTracker) activeSince(worker string, number uint64, now time.Time) time.Time {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	current, found := tracker.active[worker]
	if !found || current.number != number {
		current = activeSuspicion{number: number, since: now}
		tracker.active[worker] = current
	}
	return current.since
}

type endedSuspicion struct {
	number  uint64
	endedAt time.Time
}

// lastEndedAt records that the worker is not suspected, after the given number of
// suspicions, and returns when this entry first saw that the newest of them had
// ended. The time is zero if there was none.
func (tracker *suspicionTracker) lastEndedAt(worker string, number uint64, now time.Time) time.Time {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if number > tracker.ended[worker].number {
		tracker.ended[worker] = endedSuspicion{number: number, endedAt: now}
	}
	return tracker.ended[worker].endedAt
}

// missingSince returns when this entry first found that it had no report of the guard
// of a worker that holds tasks.
func (tracker *suspicionTracker) missingSince(worker string, now time.Time) time.Time {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if _, found := tracker.missing[worker]; !found {
		tracker.missing[worker] = now
	}
	return tracker.missing[worker]
}

// checkTimeouts returns the records that suspect workers whose guards have stopped
// reporting, and that release the attempts on suspected workers after their leases
// have certainly expired.
func (entry *Entry) checkTimeouts(st *state.State, now time.Time) []*record.Record {
	var records []*record.Record
	for _, worker := range st.Workers() {
		if !entry.isResponsibleFor(worker, now) {
			continue
		}
		suspicion := st.ActiveSuspicion(worker)
		if suspicion == 0 {
			if entry.hasTimedOut(worker, st.SuspicionCount(worker), now) {
				records = append(records, newSuspectRecord(worker, now))
			}
			continue
		}
		since := entry.suspicions.activeSince(worker, suspicion, now)
		for _, task := range st.TasksOnWorker(worker) {
			if now.Sub(since) > lease.ExpiryWait(task.Lease(), offerTime) {
				records = append(records, newLostRecord(task, suspicion, now))
			}
		}
	}
	return records
}

// hasTimedOut reports whether the worker's guard has not reported for longer than the
// configured time. If a suspicion of the worker ended within this time, some entry
// has received a report since, and the worker does not count as timed out.
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

// newSuspectRecord returns the record that suspects the worker. Leases of its
// attempts are not renewed until the suspicion ends.
func newSuspectRecord(worker string, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_WorkerSuspect{WorkerSuspect: &record.WorkerSuspect{Worker: worker}}
	return rec
}

// newLostRecord returns the record that releases an attempt on a suspected worker.
// The log rejects it if the suspicion has ended.
func newLostRecord(task *state.Task, suspicion uint64, now time.Time) *record.Record {
	rec := newReleaseRecord(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_LOST, "its worker was silent until its lease had ended", nil, now)
	rec.GetTaskRelease().Suspicion = suspicion
	return rec
}

// updateSuspicions appends the records of checkTimeouts and logs the accepted ones.
func (entry *Entry) updateSuspicions(ctx context.Context) {
	now := entry.now()
	if !entry.isLogFresh(now) {
		return
	}
	var records []*record.Record
	entry.journal.View(func(st *state.State) { records = entry.checkTimeouts(st, now) })
	if len(records) == 0 {
		return
	}
	for i, outcome := range entry.propose(ctx, records...) {
		if !outcome.IsAccepted() {
			continue
		}
		if suspect := records[i].GetWorkerSuspect(); suspect != nil {
			entry.options.Events.Log(ctx, event.WorkerSuspected, slog.String("worker", suspect.GetWorker()))
			continue
		}
		entry.options.Events.Log(ctx, event.AttemptLost, slog.String("task", records[i].GetTaskRelease().GetTask()))
	}
}
