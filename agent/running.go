package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/wire"
)

// noteRunning compares what the worker lists with what the agent believes.
func (agent *Agent) noteRunning(state *workerState, asked look, held platform.Held, now time.Time) {
	listed := map[string]bool{}
	for _, run := range held.Running {
		listed[run.Task] = true
		agent.noteRun(state, run, now)
	}
	if len(held.Ended) >= platform.EndsListedMost {
		// The end of a run that is not listed may wait behind those that are.
		return
	}
	for _, run := range state.runs {
		if listed[run.task] {
			run.missed = 0
			continue
		}
		agent.noteUnlisted(state, run, asked)
	}
	if asked.settles > 0 && asked.token == state.token {
		state.unsettled = 0
	}
}

func (agent *Agent) noteRun(state *workerState, listed platform.Run, now time.Time) {
	run, found := state.runs[listed.Task]
	if !found {
		run = &runState{
			task: listed.Task, attempt: listed.Attempt, shard: agent.shardOf(listed.Task), phase: phaseRunning, confirmedAt: now, sentAt: now,
			pace: fullPercent, paceUnknown: true, found: true, fasterAt: now.Add(adoptedPause),
		}
		state.runs[listed.Task] = run
		agent.log(event.RunAdopted, slog.String("task", listed.Task), slog.Int("attempt", int(listed.Attempt)))
		agent.statusChanged()
	}
	if run.attempt != listed.Attempt {
		return
	}
	if run.phase == phaseUnsettled {
		agent.settled(state, run, true)
		run.confirmedAt = now
	}
	run.work(now)
	run.checkpoint = listed.Checkpoint
	run.percent = listed.Percent
	run.figure = listed.Figure
}

// noteUnlisted looks at a run that the worker's answer lacks.
func (agent *Agent) noteUnlisted(state *workerState, run *runState, asked look) {
	switch run.phase {
	case phaseStarting:
		// Its answer is still to come.
	case phaseUnsettled:
		if asked.token == state.token && asked.settles > 0 {
			// The worker now obeys no token that the start was sent with.
			delete(state.runs, run.task)
			agent.settled(state, run, false)
		}
	case phaseRunning, phaseStopping:
		if !run.confirmedAt.Before(asked.at) {
			return
		}
		run.missed++
		if run.missed > 1 {
			delete(state.runs, run.task)
			agent.tellLost(state, run)
			agent.statusChanged()
		}
	}
}

func (agent *Agent) settled(state *workerState, run *runState, runs bool) {
	agent.logRun(event.OrderSettled, run, slog.Bool("runs", runs))
	outcome := wire.StartOutcome_START_WORKER_FAILED
	if runs {
		run.phase = phaseRunning
		outcome = wire.StartOutcome_START_STARTED
	}
	agent.sendResult(state, run, outcome)
}
