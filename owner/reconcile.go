package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/wire"
)

// handleAgentMessage applies a message of an agent, unless it comes from a connection that has been replaced.
func (owner *Owner) handleAgentMessage(view *agentView, conn *agentConn, message *wire.AgentMessage, now time.Time) {
	if view.conn != conn {
		return
	}
	if message.GetAgent() != "" && view.agentID != message.GetAgent() {
		view.agentID = message.GetAgent()
		view.consecutiveFailures = 0
		owner.removeLearned(view)
	}
	if !view.receivedOnConn {
		view.receivedOnConn = true
		view.sentAt = time.Time{} // Send the first grant on the connection at once.
	}
	view.keepsLearned = view.keepsLearned || message.GetKeepsLearned()
	view.tellsBegun = view.tellsBegun || message.GetTellsBegun()
	view.lastMessageAt = now
	view.agentUptime = time.Duration(message.GetUptimeNanos())
	view.recordAcknowledged(message.GetHandled(), now)
	before := view.incarnation()
	if view.statusDecoder.Apply(message) {
		owner.placementChanges.addWorker(view)
	}
	if view.incarnation() != before {
		// Probation applies to one incarnation: failures on it say nothing about the next.
		view.consecutiveFailures, view.avoidUntil = 0, time.Time{}
	}
	view.markRunsInStatus()
	for _, result := range message.GetResults() {
		owner.handleStartResult(view, result, now)
	}
	for _, end := range message.GetEnds() {
		owner.handleRunEnd(view, end, now)
	}
	owner.receiveSharedEnds(view, message.GetSharedEnds(), now)
	owner.receiveOffers(view, message.GetOffers())
	if message.GetComplete() {
		owner.reconcile(view, message, now)
	}
	owner.updateLearned(view, message.GetLearned())
}

// markRunsInStatus marks the runs that the agent's status takes account of: those whose start order the agent
// has handled.
func (view *agentView) markRunsInStatus() {
	for _, run := range view.runs {
		if view.hasHandled(run.orderSequence) {
			run.inAgentStatus = true
		}
	}
}

// hasHandled reports whether the agent has handled the message with a sequence number. The number 0
// denotes a message that was not sent on this connection.
func (view *agentView) hasHandled(sequence int64) bool {
	return sequence > 0 && sequence <= view.handledSequence
}

// hasHandledOrder reports whether the agent has handled the order of a run, or, if that was sent on an earlier connection
// or by an earlier owner, the claim of the run's shard.
func (view *agentView) hasHandledOrder(run *trackedRun) bool {
	if run.orderedEarlier {
		return view.hasHandled(view.claimSequences[run.shard.number])
	}
	return view.hasHandled(run.orderSequence)
}

// reconcile compares the runs that an agent lists with those that the owner has placed there.
func (owner *Owner) reconcile(view *agentView, message *wire.AgentMessage, now time.Time) {
	listed := map[string]*wire.RunStatus{}
	for _, reported := range message.GetRuns() {
		listed[reported.GetTask()] = reported
	}
	worker := view.incarnation()
	for name, run := range view.runs {
		reported, found := listed[name]
		if found && reported.GetAttempt() == run.attempt && worker.WorkerID() == run.place.Incarnation.WorkerID() {
			// The agent knows on which incarnation of its worker the run is: the next incarnation may have
			// carried out an order that arrived late.
			run.place.Incarnation = worker
			owner.handleListedRun(view, run, reported, now)
			owner.checkProgress(view, run, reported, now)
			continue
		}
		owner.handleUnlistedRun(view, run, worker, now)
	}
	for name, reported := range listed {
		owner.stopStrayRun(view, name, reported, worker)
	}
}

// handleListedRun applies what an agent reports of a run that was placed there. If the worker is not ready,
// the agent may have been restarted, so it is sent the run's demand again.
func (owner *Owner) handleListedRun(view *agentView, run *trackedRun, reported *wire.RunStatus, now time.Time) {
	if view.provesBegun(run, reported) {
		owner.confirmRun(run, now)
	}
	run.inherited, run.inAgentStatus = false, true
	run.task.Job().SetCheckpoint(run.task, reported.GetAttempt(), reported.GetCheckpoint())
	if !view.status().GetReady() {
		view.nextMessage.Runs = append(view.nextMessage.Runs, &wire.RunDescription{Task: run.taskName, Attempt: run.attempt, Demand: demandOf(run.task, now)})
	}
}

// provesBegun reports whether a listed run has certainly begun. An agent lists a run from when it has sent the start. One
// that doesn't tell more answers the start order as soon as the worker has answered, but only on the connection on which
// the order came.
func (view *agentView) provesBegun(run *trackedRun, reported *wire.RunStatus) bool {
	if reported.GetBegun() || reported.GetPercent() > 0 || reported.GetCheckpoint() != "" {
		return true
	}
	return !view.tellsBegun && run.orderedEarlier
}

// provesEndedRunBegun reports whether the run of an end has certainly begun. The run is nil if it is not tracked. A worker
// lists only ends of runs that have begun, and an agent reports the others as lost or crashed.
func (view *agentView) provesEndedRunBegun(run *trackedRun, end *wire.RunEnd) bool {
	switch end.GetReason() {
	case wire.EndReason_END_LOST, wire.EndReason_END_CRASHED, wire.EndReason_END_CRASHED_BESIDE:
	default:
		return true
	}
	if end.GetUnanswered() {
		return false
	}
	return view.tellsBegun || end.GetProven() || run == nil || run.confirmed || run.orderedEarlier
}

// handleUnlistedRun releases a run that its agent does not list, if that proves that the run has ended or
// will not start.
func (owner *Owner) handleUnlistedRun(view *agentView, run *trackedRun, worker incarnation.ID, now time.Time) {
	if !owner.isConfirmed(now) {
		// The agent may not list the run because its shard has another owner.
		return
	}
	status := view.status()
	if !status.GetReady() && !status.GetAccounted() {
		// The agent may not know all runs of its worker yet.
		return
	}
	// An agent lists what its worker carried out of the order once it has handled the message with the order, or the
	// claim of the shard for an earlier order. Before that, its message may be older than the run.
	if !view.hasHandledOrder(run) {
		return
	}
	if !worker.IsZero() && worker.WorkerID() != run.place.Incarnation.WorkerID() {
		// A machine has one worker. If a different one is ready there, the previous one has ended with all
		// its runs. A worker that is not ready may be known only from a delayed heartbeat.
		if status.GetReady() {
			owner.releaseRun(view, run, "its worker's incarnation is over", now)
		}
		return
	}
	reason := "not listed by its agent"
	if worker.IsOtherIncarnationOf(run.place.Incarnation) {
		if !status.GetReady() {
			return
		}
		reason = "its worker has started again"
	}
	owner.releaseRun(view, run, reason, now)
}

// stopStrayRun has a listed run stopped if it is not the current run of its task. The next owner of the shard may have
// started it, so the stop is ordered once the store has shown that there is none.
func (owner *Owner) stopStrayRun(view *agentView, name string, reported *wire.RunStatus, worker incarnation.ID) {
	ref, valid := owner.parseTask(name)
	if !valid {
		return
	}
	s, _ := owner.loadedJob(ref.Job)
	run, found := view.runs[name]
	if s == nil || found && run.attempt == reported.GetAttempt() {
		return
	}
	s.afterFlush = append(s.afterFlush, func(time.Time) {
		if run, found := view.runs[name]; found && run.attempt == reported.GetAttempt() {
			return
		}
		owner.log(event.RunStopOrdered, slog.String("task", name), slog.Int("attempt", int(reported.GetAttempt())), slog.String("reason", "not the task's current run"))
		view.addStopOrder(s, name, reported.GetAttempt(), worker)
	})
}

// adoptRuns tracks the runs that earlier owners of the shard have placed, and has the shard claimed at all
// agents.
func (owner *Owner) adoptRuns(s *shard, now time.Time) {
	for _, j := range s.live {
		for _, task := range j.RunningTasks() {
			view := owner.ensureAgent(task.Place().AgentAddress)
			if view == nil {
				continue
			}
			run := newTrackedRun(s, task, now)
			run.orderedEarlier, run.inherited, run.inAgentStatus = true, true, true
			view.runs[run.taskName] = run
			owner.releaseIfIncarnationEnded(view, run, now)
		}
	}
	for _, view := range owner.agents {
		view.claimsSent = false
	}
}
