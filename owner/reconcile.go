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
func (owner *Owner) handleAgentMessage(view *agentView, conn *agentConn, message *wire.AgentMessage, now time.Time) {
	if view.conn != conn {
		return
	}
	if message.GetAgent() != "" && view.agentID != message.GetAgent() {
		view.agentID = message.GetAgent()
		view.consecutiveFailures = 0
		owner.removeLearned(view)
	}
	if !view.heardOnConn {
		view.heardOnConn = true
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
	for _, run := range view.runs {
		if view.hasHandled(run.orderSequence) {
			run.inAgentStatus = true
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
	for _, reported := range message.GetRuns() {
		listed[reported.GetTask()] = reported
	}
	worker := view.incarnation()
	for name, run := range view.runs {
		reported, found := listed[name]
		if found && reported.GetAttempt() == run.attempt && worker.WorkerID() == run.place.Incarnation.WorkerID() {
			// On which life of its worker a run goes is for the agent to say: an order that was late may
			// have been carried out by the next one.
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

// handleListedRun takes in what an agent tells of a run that was ordered there.
func (owner *Owner) handleListedRun(view *agentView, run *trackedRun, reported *wire.RunStatus, now time.Time) {
	owner.confirmRun(run, now)
	run.inherited, run.inAgentStatus = false, true
	run.task.Job().SetCheckpoint(run.task, reported.GetAttempt(), reported.GetCheckpoint())
	if !view.status().GetReady() {
		view.nextMessage.Runs = append(view.nextMessage.Runs, &wire.RunDescription{Task: run.taskName, Attempt: run.attempt, Demand: demandOf(run.task, now)})
	}
}

// handleUnlistedRun looks at a run that its agent does not list.
func (owner *Owner) handleUnlistedRun(view *agentView, run *trackedRun, worker incarnation.ID, now time.Time) {
	status := view.status()
	if !status.GetReady() && !status.GetAccounted() {
		return
	}
	if !worker.IsZero() && worker.WorkerID() != run.place.Incarnation.WorkerID() {
		// A machine has one worker: another one that answers there means that the one before it has ended,
		// with all that it ran. One that has not answered may be known by a heartbeat that was held up.
		if status.GetReady() {
			owner.releaseRun(view, run, "its worker's incarnation is over", now)
		}
		return
	}
	// Another life under the same id may have carried the order out, which its agent tells to an owner
	// whose message it has handled.
	handled := view.hasHandled(run.orderSequence)
	if run.orderedEarlier {
		handled = view.hasHandled(view.claimSequences[run.shard.number])
	}
	if !handled {
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

// stopStrayRun stops a run that should not be.
func (owner *Owner) stopStrayRun(view *agentView, name string, reported *wire.RunStatus, worker incarnation.ID) {
	ref, err := job.ParseTaskRef(name)
	if err != nil {
		owner.log(event.RecordUnreadable, slog.String("task", name), slog.Any("error", err))
		return
	}
	s, _ := owner.loadedJob(ref.Job)
	run, found := view.runs[name]
	if s == nil || found && run.attempt == reported.GetAttempt() {
		return
	}
	owner.log(event.RunStopOrdered, slog.String("task", name), slog.Int("attempt", int(reported.GetAttempt())), slog.String("reason", "not the task's present run"))
	view.addStopOrder(s, name, reported.GetAttempt(), worker)
}

// adoptRuns takes up the runs that earlier owners ordered.
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
