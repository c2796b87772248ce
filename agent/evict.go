package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/interference"
)

const (
	// evictEvery keeps evictions from a worker apart, so that what one brought
	// shows before the next.
	evictEvery = 300 * time.Millisecond
	// evictAfter is how long a run is left where it is at least: it has begun
	// to save its progress by then.
	evictAfter = 600 * time.Millisecond
)

// evictWorst stops the run that disturbs most, if it goes on elsewhere from its
// checkpoint: its owner finds a worker that bears it. One that does not save its
// progress is only slowed.
func (agent *Agent) evictWorst(state *workerState, servings []interference.Serving, fills []interference.Fill, paces map[string]float64, now time.Time) {
	if now.Sub(agent.paced.evictedAt) < evictEvery {
		return
	}
	for index := range fills {
		run := state.runs[fills[index].Task]
		fills[index].Movable = run.demand.GetMovable() && run.phase == phaseRunning && now.Sub(run.confirmedAt) >= evictAfter
	}
	worst, found := agent.paced.model.Worst(servings, fills, paces)
	if !found {
		return
	}
	agent.paced.evictedAt = now
	agent.meters.evicted.Add(agent.ctx, 1)
	run := state.runs[worst]
	agent.logRun(event.RunEvicted, run, slog.String("image", run.demand.GetImage()), slog.Int("percent_done", int(run.percent)))
	agent.stopRun(state, run, now)
}
