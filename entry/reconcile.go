package entry

import (
	"time"

	"ambertiller.example/ambertiller/changelog"
	"ambertiller.example/ambertiller/lease"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

// reportActions is what one report leads to.
type reportActions struct {
	grants  []*wire.TaskGrant
	records []*record.Record
	stops   []*wire.StopRequest
	starts  []*state.Task
}

// reconcile compares the attempts that a guard reports with the state.
func (entry *Entry) reconcile(guard *membership.Guard, now time.Time) *reportActions {
	made := &reportActions{}
	fresh := entry.journal.SyncedAt()
	entry.journal.View(func(folded *state.State) {
		reported := map[string]bool{}
		for _, task := range guard.Tasks() {
			reported[task.GetTask()] = true
			entry.reconcileReported(made, folded, guard, task, fresh, now)
		}
		for _, task := range folded.TasksOnWorker(guard.Name()) {
			if !reported[task.ID()] && entry.isResponsibleFor(task.ID(), now) {
				entry.reconcileMissing(made, task, guard, now)
			}
		}
		entry.clearSuspicion(made, folded, guard, now)
	})
	return made
}

// reconcileReported judges one attempt that the guard answers for.
func (entry *Entry) reconcileReported(made *reportActions, folded *state.State, guard *membership.Guard, reported *wire.TaskReport, fresh, now time.Time) {
	grant := &wire.TaskGrant{Task: reported.GetTask(), Attempt: reported.GetAttempt()}
	task := folded.Task(reported.GetTask())
	switch {
	case task == nil:
		// Unknown and reported before the last whole read began: forgotten.
		grant.Recorded = !guard.HeardBefore().IsZero() && fresh.After(guard.HeardBefore())
		grant.Stop = grant.Recorded
	case reported.GetAttempt() > task.Attempt():
		// This entry's state is behind; another entry knows better.
	case reported.GetAttempt() < task.Attempt() || !task.Phase().IsPlaced():
		grant.Recorded, grant.Stop = true, true
	default:
		entry.reconcileCurrent(made, folded, guard, task, reported, grant, fresh, now)
	}
	if grant.GetLeaseNanos() > 0 || grant.GetStop() || grant.GetRecorded() {
		made.grants = append(made.grants, grant)
	}
}

func (entry *Entry) reconcileCurrent(made *reportActions, folded *state.State, guard *membership.Guard, task *state.Task, reported *wire.TaskReport, grant *wire.TaskGrant, fresh, now time.Time) {
	owned := entry.isResponsibleFor(task.ID(), now)
	if rec := newEndRecord(reported, now); rec != nil {
		if owned {
			made.records = append(made.records, rec)
		}
		return
	}
	if folded.ActiveSuspicion(guard.Name()) == 0 {
		// A lease counts from the last time this entry is sure that nobody
		// had withdrawn it, not from now.
		grant.LeaseNanos = lease.Remaining(task.Lease(), fresh, now).Nanoseconds()
	}
	switch {
	case !owned:
	case task.Phase() == state.PhaseAssigned:
		made.records = append(made.records, newRunningRecord(task.ID(), task.Attempt(), now))
	case task.Phase() == state.PhaseStopping && reported.GetPhase() == wire.TaskPhase_TASK_RUNNING:
		made.stops = append(made.stops, newStopRequest(task, guard))
	case task.Phase() == state.PhaseRunning && (folded.IsDraining(guard.Name()) || guard.ListedLeaving()):
		made.records = append(made.records, newEvictRecord(task, "its worker is drained", now))
	}
}

func newStopRequest(task *state.Task, guard *membership.Guard) *wire.StopRequest {
	return &wire.StopRequest{Task: task.ID(), Attempt: task.Attempt(), Incarnation: guard.Incarnation(), Reason: task.Reason()}
}

func newEvictRecord(task *state.Task, reason string, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_TaskEvict{TaskEvict: &record.TaskEvict{Task: task.ID(), Attempt: task.Attempt(), Reason: reason}}
	return rec
}

// newEndRecord returns the record of an attempt's end, nil while it runs.
func newEndRecord(reported *wire.TaskReport, now time.Time) *record.Record {
	id, attempt := reported.GetTask(), reported.GetAttempt()
	switch reported.GetPhase() {
	case wire.TaskPhase_TASK_FINISHED, wire.TaskPhase_TASK_FAILED:
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskFinish{TaskFinish: &record.TaskFinish{
			Task:    id,
			Attempt: attempt,
			Failed:  reported.GetPhase() == wire.TaskPhase_TASK_FAILED,
			Reason:  reported.GetReason(),
			Result:  reported.GetResult(),
		}}
		return rec
	case wire.TaskPhase_TASK_STOPPED, wire.TaskPhase_TASK_LAPSED:
		return newReleaseRecord(id, attempt, record.ReleaseReason_RELEASE_STOPPED, reported.GetReason(), reported.GetCheckpoint(), now)
	}
	return nil
}

// reconcileMissing judges an attempt that the state gives to the worker and that
// its guard, by its own report, does not have.
func (entry *Entry) reconcileMissing(made *reportActions, task *state.Task, guard *membership.Guard, now time.Time) {
	offered := task.Incarnation() == guard.Incarnation()
	switch {
	case !offered:
		// The offer was to an earlier incarnation, which has been replaced:
		// nobody takes it up any more, and this one has looked at what its
		// worker runs.
		// The case behind minAdoptionUptime: a start that the earlier one had sent to
		// the worker when it died may reach the worker a moment later.
		if guard.Uptime() > minAdoptionUptime {
			made.records = append(made.records, newReleaseRecord(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_NOT_STARTED, "a new guard does not find it on the worker", nil, now))
		}
	case guard.Uptime() > task.OfferDeadline():
		made.records = append(made.records, newReleaseRecord(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_NOT_STARTED, "the offer ended without being taken up", nil, now))
	case task.Phase() == state.PhaseAssigned:
		made.starts = append(made.starts, task)
	case task.Phase() == state.PhaseStopping:
		made.stops = append(made.stops, newStopRequest(task, guard))
	}
}

// minAdoptionUptime is how old a guard must be before what it does not find on its
// worker counts as not there.
const minAdoptionUptime = 3 * time.Second

// clearSuspicion ends the suspicion of a guard that speaks. Any entry that hears
// it does so, not only the one that acts for the worker: the case is a guard
// that reaches some entries and not that one.
func (entry *Entry) clearSuspicion(made *reportActions, folded *state.State, guard *membership.Guard, now time.Time) {
	suspicion := folded.ActiveSuspicion(guard.Name())
	if suspicion == 0 {
		return
	}
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_WorkerSuspect{WorkerSuspect: &record.WorkerSuspect{
		Worker: guard.Name(), Incarnation: guard.Incarnation(), Cleared: true, Suspicion: suspicion,
	}}
	made.records = append(made.records, rec)
}
