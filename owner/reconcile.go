package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// noteAgent takes in what an agent tells.
func (owner *Owner) noteAgent(view *agentView, from *link, message *wire.AgentMessage, now time.Time) {
	if view.link != from {
		return
	}
	if message.GetAgent() != "" && view.id != message.GetAgent() {
		view.id = message.GetAgent()
		view.failures = 0
		owner.removeLearned(view)
	}
	if !view.greeted {
		view.greeted = true
		view.sentAt = time.Time{} // The first grant on a connection goes out at once.
	}
	view.keepsLearned = view.keepsLearned || message.GetKeepsLearned()
	view.heardAt = now
	view.uptime = time.Duration(message.GetUptimeNanos())
	view.noteAnswered(message.GetHandled(), now)
	before := view.incarnation()
	if view.heard.Apply(message) {
		owner.lookout.addWorker(view)
	}
	if view.incarnation() != before {
		// Doubts are about a life: what failed on one says nothing of the next.
		view.failures, view.avoidUntil = 0, time.Time{}
	}
	view.noteReflected()
	for _, result := range message.GetResults() {
		owner.noteResult(view, result, now)
	}
	for _, end := range message.GetEnds() {
		owner.noteEnd(view, end, now)
	}
	if message.GetComplete() {
		owner.reconcile(view, message, now)
	}
	owner.updateLearned(view, message.GetLearned())
}

// noteReflected marks the runs that the agent's account of its room includes.
func (view *agentView) noteReflected() {
	for _, entry := range view.runs {
		if view.hasHandled(entry.sequence) {
			entry.reflected = true
		}
	}
}

// hasHandled reports whether the agent has handled the message with a sequence
// number; 0 is that of a message that was not sent.
func (view *agentView) hasHandled(sequence int64) bool {
	return sequence > 0 && sequence <= view.handled
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
			owner.noteListed(view, entry, run, now)
			owner.checkProgress(view, entry, run, now)
			continue
		}
		owner.noteUnlisted(view, entry, worker, now)
	}
	for name, run := range listed {
		owner.noteStray(view, name, run, worker)
	}
}

// noteListed takes in what an agent tells of a run that was ordered there.
func (owner *Owner) noteListed(view *agentView, entry *runEntry, run *wire.RunStatus, now time.Time) {
	owner.confirm(entry, now)
	entry.inherited, entry.reflected = false, true
	entry.task.Job().SetCheckpoint(entry.task, run.GetAttempt(), run.GetCheckpoint())
	if !view.status().GetReady() {
		view.message.Runs = append(view.message.Runs, &wire.RunDescription{Task: entry.name, Attempt: entry.attempt, Demand: demandOf(entry.task, now)})
	}
}

// noteUnlisted looks at a run that its agent does not list.
func (owner *Owner) noteUnlisted(view *agentView, entry *runEntry, worker incarnation.ID, now time.Time) {
	status := view.status()
	if !status.GetReady() && !status.GetAccounted() {
		return
	}
	if !worker.IsZero() && worker.WorkerID() != entry.place.Incarnation.WorkerID() {
		// A machine has one worker: another one that answers there means that the one before it has ended,
		// with all that it ran. One that has not answered may be known by a heartbeat that was held up.
		if status.GetReady() {
			owner.release(view, entry, "its worker's incarnation is over", now)
		}
		return
	}
	// Another life under the same id may have carried the order out, which its agent tells to an owner
	// whose message it has handled.
	handled := view.hasHandled(entry.sequence)
	if entry.prior {
		handled = view.hasHandled(view.claimSeq[entry.held.number])
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
	owner.release(view, entry, reason, now)
}

// noteStray stops a run that should not be.
func (owner *Owner) noteStray(view *agentView, name string, run *wire.RunStatus, worker incarnation.ID) {
	ref, err := job.ParseTaskRef(name)
	if err != nil {
		owner.log(event.RecordUnreadable, slog.String("task", name), slog.Any("error", err))
		return
	}
	held, _ := owner.jobOf(ref.Job)
	entry, found := view.runs[name]
	if held == nil || found && entry.attempt == run.GetAttempt() {
		return
	}
	owner.log(event.RunStopOrdered, slog.String("task", name), slog.Int("attempt", int(run.GetAttempt())), slog.String("reason", "not the task's present run"))
	view.orderStop(held, name, run.GetAttempt(), worker)
}

// adoptRuns takes up the runs that earlier owners ordered.
func (owner *Owner) adoptRuns(held *shard, now time.Time) {
	for _, made := range held.live {
		for _, task := range made.RunningTasks() {
			view := owner.agentAt(task.Place().AgentAddress)
			if view == nil {
				continue
			}
			entry := newEntry(held, task, now)
			entry.prior, entry.inherited, entry.reflected = true, true, true
			view.runs[entry.name] = entry
			owner.releaseEnded(view, entry, now)
		}
	}
	for _, view := range owner.agents {
		view.claimed = false
	}
}
