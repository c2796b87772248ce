package agent

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
)

const (
	// paceEvery keeps changes apart: a run's figure is taken over half a
	// second, so an earlier change would judge the pace before the last one.
	paceEvery = 500 * time.Millisecond
	// slowAbove and freeBelow are shares of a serving task's target tail. The
	// gap between them keeps the pace from swinging.
	slowAbove = 0.85
	freeBelow = 0.6
	// overFactor cuts the pace at once when a target is missed.
	overFactor  = 0.4
	slowFactor  = 0.75
	freeStep    = 15
	fullPercent = 100
	leastPace   = 5
)

// pacing slows the tasks that fill a worker while they disturb those that serve.
type pacing struct {
	percent   int32
	changedAt time.Time
	sent      map[string]int32
}

func newPacing() pacing { return pacing{percent: fullPercent, sent: map[string]int32{}} }

// watching reports whether tails of serving tasks are to be looked at closely.
func (paced *pacing) watching(state *workerState) bool {
	serving, filling := false, false
	for _, run := range state.runs {
		serving = serving || run.demand.GetTargetMs() > 0
		filling = filling || run.demand.GetFills()
	}
	return serving && filling
}

// decide returns the pace for the worst share of a target, with hysteresis.
func (paced *pacing) decide(worst float64, now time.Time) int32 {
	if now.Sub(paced.changedAt) < paceEvery {
		return paced.percent
	}
	percent := paced.percent
	switch {
	case worst >= 1:
		percent = int32(float64(percent) * overFactor)
	case worst > slowAbove:
		percent = int32(float64(percent) * slowFactor)
	case worst < freeBelow:
		percent += freeStep
	}
	return min(max(percent, leastPace), fullPercent)
}

// pace adapts the pace of the filling runs to the tails of the serving ones.
func (agent *Agent) pace(state *workerState, now time.Time) {
	worst := 0.0
	for _, run := range state.runs {
		if target := run.demand.GetTargetMs(); target > 0 {
			worst = max(worst, float64(run.figure)/float64(target))
		}
	}
	percent := agent.paced.decide(worst, now)
	if percent != agent.paced.percent {
		agent.options.Events.Log(agent.ctx, event.FillsPaced, slog.Int("percent", int(percent)), slog.Float64("tail_of_target", worst))
		agent.paced.percent = percent
		agent.paced.changedAt = now
	}
	for _, run := range state.runs {
		if run.demand.GetFills() && run.phase == phaseRunning {
			agent.paceRun(state, run, percent)
		}
	}
	for task := range agent.paced.sent {
		if state.runs[task] == nil {
			delete(agent.paced.sent, task)
		}
	}
}

func (agent *Agent) paceRun(state *workerState, run *runState, percent int32) {
	before, sent := agent.paced.sent[run.task]
	if !sent {
		before = fullPercent
	}
	if before == percent {
		return
	}
	agent.paced.sent[run.task] = percent
	token := state.token
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		_, err := state.calls.Pace(ctx, run.task, run.attempt, percent, token)
		if err == nil {
			return
		}
		agent.decisions.Post(func(now time.Time) {
			agent.options.Events.Log(agent.ctx, event.OrderUnsettled, slog.String("task", run.task), slog.String("order", "pace"), slog.Any("error", err))
			// Sent again with the next look.
			delete(agent.paced.sent, run.task)
		})
	}()
}
