package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// reconcileRuns compares the runs that the worker lists with those that the agent knows of: it adopts unknown
// runs, settles starts without an answer, and reports runs that are no longer listed as lost.
func (agent *Agent) reconcileRuns(state *workerState, request pollRequest, answer platform.PollResult, now time.Time) {
	listed := map[string]bool{}
	for _, run := range answer.Running {
		listed[run.Task] = true
		agent.updateRun(state, run, now)
	}
	if len(answer.Ended) >= platform.MaxListedEnds {
		// The worker lists a limited number of ends. A run that is not listed may have an end beyond them.
		return
	}
	for _, run := range state.runs {
		if listed[run.task] {
			run.missedPolls = 0
			continue
		}
		agent.handleUnlistedRun(state, run, request)
	}
	if request.unsettledStarts > 0 && request.token == state.token {
		state.unsettledStarts = 0
	}
}

// updateRun updates a run that the worker lists, and adopts it if it is unknown.
func (agent *Agent) updateRun(state *workerState, listed platform.Run, now time.Time) {
	run, found := state.runs[listed.Task]
	if !found {
		run = &runState{
			task: listed.Task, attempt: listed.Attempt, shard: agent.shardOf(listed.Task), phase: phaseRunning, confirmedAt: now, startSentAt: now,
			pacePercent: fullPercent, paceUnknown: true, adopted: true, paceRaisedAt: now.Add(adoptedPaceDelay),
		}
		state.runs[listed.Task] = run
		agent.log(event.RunAdopted, slog.String("task", listed.Task), slog.Int("attempt", int(listed.Attempt)))
		agent.markStatusChanged()
	}
	if run.attempt != listed.Attempt {
		return
	}
	run.begun = true
	if run.phase == phaseUnsettled {
		agent.settleStart(state, run, true)
		run.confirmedAt = now
	}
	run.updateWork(now)
	run.checkpoint = listed.Checkpoint
	run.progressPercent = listed.ProgressPercent
	run.reading = listed.Reading
}

// handleUnlistedRun handles a run that the worker does not list. A start without an answer has failed if the
// poll raised the worker's token. A run that was confirmed before the poll was sent is lost once two polls in
// a row have missed it.
func (agent *Agent) handleUnlistedRun(state *workerState, run *runState, request pollRequest) {
	switch run.phase {
	case phaseStarting:
		// The answer to the start is still to come.
	case phaseUnsettled:
		if request.token == state.token && request.unsettledStarts > 0 {
			// The worker now refuses the token that the start was sent with.
			delete(state.runs, run.task)
			agent.settleStart(state, run, false)
		}
	case phaseRunning, phaseStopping:
		if !run.confirmedAt.Before(request.sentAt) {
			return
		}
		run.missedPolls++
		if run.missedPolls > 1 {
			delete(state.runs, run.task)
			agent.reportLostRun(state, run)
			agent.markStatusChanged()
		}
	}
}

// settleStart reports the outcome of a start without an answer to the owner, once it is known whether the run
// has started.
func (agent *Agent) settleStart(state *workerState, run *runState, started bool) {
	agent.logRun(event.OrderSettled, run, slog.Bool("runs", started))
	outcome := wire.StartOutcome_START_WORKER_FAILED
	if started {
		run.phase = phaseRunning
		outcome = wire.StartOutcome_START_STARTED
	}
	agent.queueResult(state, run, outcome)
}
