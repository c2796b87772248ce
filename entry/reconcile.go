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

// reportActions holds the actions that follow from one report of a guard: the
// grants of the reply, and the records, stops and offers that are sent afterwards.
type reportActions struct {
	grants  []*wire.TaskGrant
	records []*record.Record
	stops   []*wire.StopRequest
	starts  []*state.Task
}

// reconcile compares the attempts in a guard's report with the state, and returns
// the actions that resolve the differences.
func (entry *Entry) reconcile(guard *membership.Guard, now time.Time) *reportActions {
	actions := &reportActions{}
	syncedAt := entry.journal.SyncedAt()
	entry.journal.View(func(st *state.State) {
		reportedTasks := map[string]bool{}
		for _, task := range guard.Tasks() {
			reportedTasks[task.GetTask()] = true
			entry.reconcileReported(actions, st, guard, task, syncedAt, now)
		}
		for _, task := range st.TasksOnWorker(guard.Name()) {
			if !reportedTasks[task.ID()] && entry.isResponsibleFor(task.ID(), now) {
				entry.reconcileMissing(actions, task, guard, now)
			}
		}
		entry.clearSuspicion(actions, st, guard, now)
	})
	return actions
}

// reconcileReported handles one attempt in the guard's report. syncedAt is when
// this entry last read the log to its end.
func (entry *Entry) reconcileReported(actions *reportActions, st *state.State, guard *membership.Guard, report *wire.TaskReport, syncedAt, now time.Time) {
	grant := &wire.TaskGrant{Task: report.GetTask(), Attempt: report.GetAttempt()}
	task := st.Task(report.GetTask())
	switch {
	case task == nil:
		// The guard's previous report came before this entry's last read to the
		// end of the log began. A task that is still missing from the state is
		// taken to have ended and been removed.
		grant.Recorded = !guard.PreviousReportAt().IsZero() && syncedAt.After(guard.PreviousReportAt())
		grant.Stop = grant.Recorded
	case report.GetAttempt() > task.Attempt():
		// This entry's state lags behind the log. It leaves the attempt to entries
		// that have read further.
	case report.GetAttempt() < task.Attempt() || !task.Phase().IsPlaced():
		grant.Recorded, grant.Stop = true, true
	default:
		entry.reconcileCurrent(actions, st, guard, task, report, grant, syncedAt, now)
	}
	if grant.GetLeaseNanos() > 0 || grant.GetStop() || grant.GetRecorded() {
		actions.grants = append(actions.grants, grant)
	}
}

// reconcileCurrent handles the newest attempt of a placed task. It renews the
// lease unless the worker is suspected. If this entry is responsible for the task,
// it also records the attempt's end or start, or has the attempt stopped.
func (entry *Entry) reconcileCurrent(actions *reportActions, st *state.State, guard *membership.Guard, task *state.Task, report *wire.TaskReport, grant *wire.TaskGrant, syncedAt, now time.Time) {
	responsible := entry.isResponsibleFor(task.ID(), now)
	if rec := newEndRecord(report, now); rec != nil {
		if responsible {
			actions.records = append(actions.records, rec)
		}
		return
	}
	if st.ActiveSuspicion(guard.Name()) == 0 {
		// The lease runs from the last time that this entry was up to date with
		// the log, not from now: a later record may have withdrawn it.
		grant.LeaseNanos = lease.Remaining(task.Lease(), syncedAt, now).Nanoseconds()
	}
	switch {
	case !responsible:
	case task.Phase() == state.PhaseAssigned:
		actions.records = append(actions.records, newRunningRecord(task.ID(), task.Attempt(), now))
	case task.Phase() == state.PhaseStopping && report.GetPhase() == wire.TaskPhase_TASK_RUNNING:
		actions.stops = append(actions.stops, newStopRequest(task, guard))
	case task.Phase() == state.PhaseRunning && (st.IsDraining(guard.Name()) || guard.IsListedLeaving()):
		actions.records = append(actions.records, newEvictRecord(task, "its worker is drained", now))
	}
}

// newStopRequest returns the request to stop the task's current attempt.
func newStopRequest(task *state.Task, guard *membership.Guard) *wire.StopRequest {
	return &wire.StopRequest{Task: task.ID(), Attempt: task.Attempt(), Incarnation: guard.Incarnation(), Reason: task.Reason()}
}

// newEvictRecord returns the record that has the task's current attempt stopped so
// that the task is placed again.
func newEvictRecord(task *state.Task, reason string, now time.Time) *record.Record {
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_TaskEvict{TaskEvict: &record.TaskEvict{Task: task.ID(), Attempt: task.Attempt(), Reason: reason}}
	return rec
}

// newEndRecord returns the record of a reported end, or nil while the attempt runs.
func newEndRecord(report *wire.TaskReport, now time.Time) *record.Record {
	id, attempt := report.GetTask(), report.GetAttempt()
	switch report.GetPhase() {
	case wire.TaskPhase_TASK_FINISHED, wire.TaskPhase_TASK_FAILED:
		rec := changelog.NewRecord(now)
		rec.Body = &record.Record_TaskFinish{TaskFinish: &record.TaskFinish{
			Task:    id,
			Attempt: attempt,
			Failed:  report.GetPhase() == wire.TaskPhase_TASK_FAILED,
			Reason:  report.GetReason(),
			Result:  report.GetResult(),
		}}
		return rec
	case wire.TaskPhase_TASK_STOPPED, wire.TaskPhase_TASK_LAPSED:
		return newReleaseRecord(id, attempt, record.ReleaseReason_RELEASE_STOPPED, report.GetReason(), report.GetCheckpoint(), now)
	}
	return nil
}

// reconcileMissing handles an attempt that the state assigns to the worker and
// that is missing from its guard's report.
func (entry *Entry) reconcileMissing(actions *reportActions, task *state.Task, guard *membership.Guard, now time.Time) {
	sameIncarnation := task.Incarnation() == guard.Incarnation()
	switch {
	case !sameIncarnation:
		// The offer was made to an earlier incarnation and can no longer be
		// accepted. The present incarnation has listed the attempts that run on
		// the worker, but a start that the earlier one had sent just before it died
		// may reach the worker after that. Hence the wait of minAdoptionUptime.
		if guard.Uptime() > minAdoptionUptime {
			actions.records = append(actions.records, newReleaseRecord(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_NOT_STARTED, "a new guard does not find it on the worker", nil, now))
		}
	case guard.Uptime() > task.OfferDeadline():
		actions.records = append(actions.records, newReleaseRecord(task.ID(), task.Attempt(), record.ReleaseReason_RELEASE_NOT_STARTED, "the offer ended without being taken up", nil, now))
	case task.Phase() == state.PhaseAssigned:
		actions.starts = append(actions.starts, task)
	case task.Phase() == state.PhaseStopping:
		actions.stops = append(actions.stops, newStopRequest(task, guard))
	}
}

// minAdoptionUptime is the uptime of a restarted guard from which an attempt that
// is missing from its report counts as not running.
const minAdoptionUptime = 3 * time.Second

// clearSuspicion ends the suspicion of a worker whose guard reports. Every entry
// that receives a report does so, and not only the one responsible for the worker,
// because the guard may be unable to reach that one.
func (entry *Entry) clearSuspicion(actions *reportActions, st *state.State, guard *membership.Guard, now time.Time) {
	suspicion := st.ActiveSuspicion(guard.Name())
	if suspicion == 0 {
		return
	}
	rec := changelog.NewRecord(now)
	rec.Body = &record.Record_WorkerSuspect{WorkerSuspect: &record.WorkerSuspect{
		Worker: guard.Name(), Incarnation: guard.Incarnation(), Cleared: true, Suspicion: suspicion,
	}}
	actions.records = append(actions.records, rec)
}
