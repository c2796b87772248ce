package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/interference"
)

const (
	// evictionInterval is the minimum time between two evictions on a worker, so that the effect of one is
	// measured before the next.
	evictionInterval = 300 * time.Millisecond
	// minRunTimeBeforeEviction protects a new run from eviction until it has begun to save its progress.
	minRunTimeBeforeEviction = 600 * time.Millisecond
	// maxRestartPercent is the progress up to which a run without checkpoints may be evicted for its
	// interference: it has to restart from the beginning.
	maxRestartPercent = 25
	// maxSlowedTime is how long a run may stay slowed before it is evicted, whether or not it interferes.
	// Without this limit, runs without checkpoints stayed at 5% of their pace for up to 40 s while their
	// jobs waited. Evictions for interference and evictions of slowed runs can each make up for a lack of
	// the other; without both, batch jobs miss their objectives.
	maxSlowedTime = 1500 * time.Millisecond
	// slowedPercent is the pace below which a run counts as slowed.
	slowedPercent = 60
	// maxSlowedRestartPercent is the progress up to which a slowed run without checkpoints may be evicted.
	maxSlowedRestartPercent = 70
)

// evictOne evicts at most one fill run, or offers it to its owner, which then starts it on a worker that
// tolerates it: the movable run that interferes the most with serving runs, or else the one that has been slowed
// for the longest.
func (agent *Agent) evictOne(state *workerState, servings []interference.ServingTask, fills []interference.FillTask, paces map[string]float64, now time.Time) {
	if now.Sub(agent.pacer.lastEvictionAt) < evictionInterval {
		return
	}
	for i := range fills {
		run := state.runs[fills[i].Task]
		fills[i].Movable = run.isEvictable(now) && run.losesLittleProgress(maxRestartPercent) &&
			agent.benefitsFromMove(run, paces[run.task]) &&
			(agent.mayEvictWithoutOffer(run, servings) || agent.mayOffer(run, paces[run.task], now))
	}
	if task, found := agent.pacer.model.EvictionCandidate(servings, fills, paces); found {
		run := state.runs[task]
		if agent.mayEvictWithoutOffer(run, servings) {
			agent.evict(state, run, now)
			return
		}
		agent.offer(state, run, paces[task], now)
		return
	}
	agent.moveLongestSlowed(state, servings, paces, now)
}

// moveLongestSlowed evicts the run that has been slowed for the longest, or offers it to its owner. Runs that may
// not be offered now are passed over, so that they delay no others.
func (agent *Agent) moveLongestSlowed(state *workerState, servings []interference.ServingTask, paces map[string]float64, now time.Time) {
	run := state.longestSlowed(now, func(run *runState) bool {
		return agent.mayEvictWithoutOffer(run, servings) || agent.canOfferNow(run, now)
	})
	switch {
	case run == nil:
	case agent.mayEvictWithoutOffer(run, servings):
		if agent.benefitsFromMove(run, paces[run.task]) {
			agent.evict(state, run, now)
		}
	case !agent.savesMoveCost(run, paces[run.task]):
		run.offerBackoff.Extend(now) // The next run has its turn.
	default:
		agent.offer(state, run, paces[run.task], now)
	}
}

// isEvictable reports whether the run may be evicted, either because it interferes with serving runs or
// because it is slowed.
func (run *runState) isEvictable(now time.Time) bool {
	return run.demand.GetMovable() && run.phase == phaseRunning && now.Sub(run.confirmedAt) >= minRunTimeBeforeEviction
}

// losesLittleProgress reports whether the run resumes from a checkpoint after a stop, or has made no more
// than maxPercent of progress.
func (run *runState) losesLittleProgress(maxPercent int32) bool {
	return run.demand.GetSaves() || run.progressPercent <= maxPercent
}

// longestSlowed returns the evictable run that has been slowed for the longest, and for at least
// maxSlowedTime, among those that mayMove accepts, or nil if there is none.
func (state *workerState) longestSlowed(now time.Time, mayMove func(run *runState) bool) *runState {
	var longest *runState
	for _, run := range state.runs {
		if run.slowedSince.IsZero() || now.Sub(run.slowedSince) < maxSlowedTime || !run.isEvictable(now) ||
			!run.losesLittleProgress(maxSlowedRestartPercent) || !mayMove(run) {
			continue
		}
		if longest == nil || run.slowedSince.Before(longest.slowedSince) {
			longest = run
		}
	}
	return longest
}

// evict stops a run; its owner starts it again elsewhere.
func (agent *Agent) evict(state *workerState, run *runState, now time.Time) {
	agent.pacer.lastEvictionAt = now
	agent.metrics.evictions.Add(agent.ctx, 1)
	agent.logRun(event.RunEvicted, run, slog.String("image", run.demand.GetImage()), slog.Int("percent_done", int(run.progressPercent)))
	agent.stopRun(state, run, now)
}
