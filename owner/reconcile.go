package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// handleAgentMessage takes in what an agent tells.
func (owner *Owner) handleAgentMessage(view *agentView, from *agentConn, message *wire.AgentMessage, now time.Time) {
	if view.conn != from {
		return
	}
	if message.GetAgent() != "" && view.agentID != message.GetAgent() {
		view.agentID = message.GetAgent()
		view.consecutiveFailures = 0
		owner.removeLearned(view)
	}
	if !view.receivedOnConn {
		view.receivedOnConn = true
		view.sentAt = time.Time{} // The first grant on a connection goes out at once.
	}
	view.keepsLearned = view.keepsLearned || message.GetKeepsLearned()
	view.lastMessageAt = now
	view.agentUptime = time.Duration(message.GetUptimeNanos())
	view.recordHandled(message.GetHandled(), now)
	before := view.incarnation()
	if view.statusDecoder.Apply(message) {
		owner.placementChanges.addWorker(view)
	}
	if view.incarnation() != before {
		// Doubts are about a life: what failed on one says nothing of the next.
		view.consecutiveFailures, view.avoidUntil = 0, time.Time{}
	}
	view.markRunsInStatus()
	for _, result := range message.GetResults() {
		owner.handleStartResult(view, result, now)
	}
	for _, end := range message.GetEnds() {
		owner.handleRunEnd(view, end, now)
	}
	if message.GetComplete() {
		owner.reconcile(view, message, now)
	}
	owner.updateLearned(view, message.GetLearned())
}

// markRunsInStatus marks the runs that the agent's account of its room includes.
func (view *agentView) markRunsInStatus() {
	for _, entry := range view.runs {
		if view.hasHandled(entry.orderSequence) {
			entry.inAgentStatus = true
		}
	}
}

// hasHandled reports whether the agent has handled the message with a sequence
// number; 0 is that of a message that was not sent.
func (view *agentView) hasHandled(sequence int64) bool {
	return sequence > 0 && sequence <= view.handledSequence
}

// reconcile compares the runs that an agent lists with those ordered there.
func (owner *Owner) reconcile(view *agentView, message *wire.AgentMessage, now time.Time) {
	listed := map[string]*wire.RunStatus{}
	for _, run := range message.GetRuns() {
		listed[run.GetTask()] = run
	}
	worker := view.incarnation()
	for name, entry := range view.runs {
		run, found := listed[name]
		if found && run.GetAttempt() == entry.attempt && worker.WorkerID() == entry.place.Incarnation.WorkerID() {
			// On which life of its worker a run goes is for the agent to say: an order that was late may
			// have been carried out by the next one.
			entry.place.Incarnation = worker
			owner.handleListedRun(view, entry, run, now)
			owner.checkProgress(view, entry, run, now)
			continue
		}
		owner.handleUnlistedRun(view, entry, worker, now)
	}
	for name, run := range listed {
		owner.stopStrayRun(view, name, run, worker)
	}
}

// handleListedRun takes in what an agent tells of a run that was ordered there.
func (owner *Owner) handleListedRun(view *agentView, entry *trackedRun, run *wire.RunStatus, now time.Time) {
	owner.confirmRun(entry, now)
	entry.inherited, entry.inAgentStatus = false, true
	entry.task.Job().SetCheckpoint(entry.task, run.GetAttempt(), run.GetCheckpoint())
	if !view.status().GetReady() {
		view.nextMessage.Runs = append(view.nextMessage.Runs, &wire.RunDescription{Task: entry.taskName, Attempt: entry.attempt, Demand: demandOf(entry.task, now)})
	}
}

// handleUnlistedRun looks at a run that its agent does not list.
func (owner *Owner) handleUnlistedRun(view *agentView, entry *trackedRun, worker incarnation.ID, now time.Time) {
	status := view.status()
	if !status.GetReady() && !status.GetAccounted() {
		return
	}
	if !worker.IsZero() && worker.WorkerID() != entry.place.Incarnation.WorkerID() {
		// A machine has one worker: another one that answers there means that the one before it has ended,
		// with all that it ran. One that has not answered may be known by a heartbeat that was held up.
		if status.GetReady() {
			owner.releaseRun(view, entry, "its worker's incarnation is over", now)
		}
		return
	}
	// Another life under the same id may have carried the order out, which its agent tells to an owner
	// whose message it has handled.
	handled := view.hasHandled(entry.orderSequence)
	if entry.orderedEarlier {
		handled = view.hasHandled(view.claimSequences[entry.shard.number])
	}
	if !handled {
		return
	}
	reason := "not listed by its agent"
	if worker.IsOtherIncarnationOf(entry.place.Incarnation) {
		if !status.GetReady() {
			return
		}
		reason = "its worker has started again"
	}
	owner.releaseRun(view, entry, reason, now)
}

// stopStrayRun stops a run that should not be.
func (owner *Owner) stopStrayRun(view *agentView, name string, run *wire.RunStatus, worker incarnation.ID) {
	ref, err := job.ParseTaskRef(name)
	if err != nil {
		owner.log(event.RecordUnreadable, slog.String("task", name), slog.Any("error", err))
		return
	}
	held, _ := owner.loadedJob(ref.Job)
	entry, found := view.runs[name]
	if held == nil || found && entry.attempt == run.GetAttempt() {
		return
	}
	owner.log(event.RunStopOrdered, slog.String("task", name), slog.Int("attempt", int(run.GetAttempt())), slog.String("reason", "not the task's present run"))
	view.addStopOrder(held, name, run.GetAttempt(), worker)
}

// adoptRuns takes up the runs that earlier owners ordered.
func (owner *Owner) adoptRuns(held *shard, now time.Time) {
	for _, made := range held.live {
		for _, task := range made.RunningTasks() {
			view := owner.ensureAgent(task.Place().AgentAddress)
			if view == nil {
				continue
			}
			entry := newTrackedRun(held, task, now)
			entry.orderedEarlier, entry.inherited, entry.inAgentStatus = true, true, true
			view.runs[entry.taskName] = entry
			owner.releaseIfIncarnationEnded(view, entry, now)
		}
	}
	for _, view := range owner.agents {
		view.claimsSent = false
	}
}
