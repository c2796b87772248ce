package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/interference"
)

const (
	// evictionInterval keeps evictions from a worker apart, so that what one brought
	// shows before the next.
	evictionInterval = 300 * time.Millisecond
	// minRunTimeBeforeEviction is how long a run is left where it is at least: it has begun
	// to save its progress by then.
	minRunTimeBeforeEviction = 600 * time.Millisecond
	// maxRestartPercent is up to which progress, in percent, a run that saves none is
	// moved at once where it disturbs: it begins again from the start.
	maxRestartPercent = 25
	// maxSlowedTime is how long a run stays slowed before it is moved whatever it
	// disturbs, and slowedPercent the pace that counts as such. Runs that saved nothing
	// would stay at a twentieth of their pace for up to 40 s, and their jobs would wait.
	// Either of these moves makes up for the other.
	maxSlowedTime = 1500 * time.Millisecond
	slowedPercent = 60
	// maxSlowedRestartPercent is up to which progress such a run is moved that saves none.
	maxSlowedRestartPercent = 70
)

// evictOne stops the run that disturbs most, so that its owner finds a worker that
// bears it, or else the one that has been slowed for the longest. Without any moves batch work is late.
func (agent *Agent) evictOne(state *workerState, servings []interference.ServingTask, fills []interference.FillTask, paces map[string]float64, now time.Time) {
	if now.Sub(agent.pacer.lastEvictionAt) < evictionInterval {
		return
	}
	for index := range fills {
		run := state.runs[fills[index].Task]
		fills[index].Movable = run.isEvictable(now) && run.losesLittleProgress(maxRestartPercent) && agent.benefitsFromMove(run, paces[run.task])
	}
	if worst, found := agent.pacer.model.EvictionCandidate(servings, fills, paces); found {
		agent.evict(state, state.runs[worst], now)
		return
	}
	if stuck := state.longestSlowed(now); stuck != nil && agent.benefitsFromMove(stuck, paces[stuck.task]) {
		agent.evict(state, stuck, now)
	}
}

// isEvictable reports whether a run may be moved for the sake of serving ones, or of its
// own.
func (run *runState) isEvictable(now time.Time) bool {
	return run.demand.GetMovable() && run.phase == phaseRunning && now.Sub(run.confirmedAt) >= minRunTimeBeforeEviction
}

// losesLittleProgress reports whether a run goes on from a checkpoint when it is stopped, or has
// not got beyond a progress in percent.
func (run *runState) losesLittleProgress(most int32) bool {
	return run.demand.GetSaves() || run.progressPercent <= most
}

// longestSlowed returns the run that has been slowed for the longest, and for too long;
// nil if there is none.
func (state *workerState) longestSlowed(now time.Time) *runState {
	var longest *runState
	for _, run := range state.runs {
		if run.slowedSince.IsZero() || now.Sub(run.slowedSince) < maxSlowedTime || !run.isEvictable(now) || !run.losesLittleProgress(maxSlowedRestartPercent) {
			continue
		}
		if longest == nil || run.slowedSince.Before(longest.slowedSince) {
			longest = run
		}
	}
	return longest
}

func (agent *Agent) evict(state *workerState, run *runState, now time.Time) {
	agent.pacer.lastEvictionAt = now
	agent.metrics.evictions.Add(agent.ctx, 1)
	agent.logRun(event.RunEvicted, run, slog.String("image", run.demand.GetImage()), slog.Int("percent_done", int(run.progressPercent)))
	agent.stopRun(state, run, now)
}
