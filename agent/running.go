package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// reconcileRuns compares what the worker lists with what the agent believes.
func (agent *Agent) reconcileRuns(state *workerState, asked pollRequest, held platform.Held, now time.Time) {
	listed := map[string]bool{}
	for _, run := range held.Running {
		listed[run.Task] = true
		agent.updateRun(state, run, now)
	}
	if len(held.Ended) >= platform.EndsListedMost {
		// The end of a run that is not listed may wait behind those that are.
		return
	}
	for _, run := range state.runs {
		if listed[run.task] {
			run.missedPolls = 0
			continue
		}
		agent.handleUnlistedRun(state, run, asked)
	}
	if asked.unsettledStarts > 0 && asked.token == state.token {
		state.unsettledStarts = 0
	}
}

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
	if run.phase == phaseUnsettled {
		agent.settleStart(state, run, true)
		run.confirmedAt = now
	}
	run.updateWork(now)
	run.checkpoint = listed.Checkpoint
	run.progressPercent = listed.Percent
	run.reading = listed.Figure
}

// handleUnlistedRun looks at a run that the worker's answer lacks.
func (agent *Agent) handleUnlistedRun(state *workerState, run *runState, asked pollRequest) {
	switch run.phase {
	case phaseStarting:
		// Its answer is still to come.
	case phaseUnsettled:
		if asked.token == state.token && asked.unsettledStarts > 0 {
			// The worker now obeys no token that the start was sent with.
			delete(state.runs, run.task)
			agent.settleStart(state, run, false)
		}
	case phaseRunning, phaseStopping:
		if !run.confirmedAt.Before(asked.sentAt) {
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

func (agent *Agent) settleStart(state *workerState, run *runState, runs bool) {
	agent.logRun(event.OrderSettled, run, slog.Bool("runs", runs))
	outcome := wire.StartOutcome_START_WORKER_FAILED
	if runs {
		run.phase = phaseRunning
		outcome = wire.StartOutcome_START_STARTED
	}
	agent.queueResult(state, run, outcome)
}
