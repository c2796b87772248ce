package agent

import (
	"context"
	"log/slog"
	"math"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/interference"
)

const (
	// maxPaceRaise is the most by which a pace rises from one look to the next.
	// A reading is taken over half a second, so a larger step would not be
	// seen before the next one.
	maxPaceRaise = 30
	// paceRaiseInterval keeps such steps apart where looks follow each other closely,
	// because ends wait to be made durable.
	paceRaiseInterval = 300 * time.Millisecond
	// adoptedPaceDelay is how long a run that was found is not let go faster: until then
	// little is known of the serving runs beside it, and what others have learned is
	// told within 1.5 s.
	adoptedPaceDelay = 2 * time.Second
	// minPaceChange is the least change that is sent.
	minPaceChange = 4
	// fullPercent is the pace of a run that is not slowed, and the progress of one
	// that is done.
	fullPercent = 100
	// millisPerCore is the number of thousandths in a core.
	millisPerCore = 1000
	// modelWorkerCores is the size of worker in whose cores interference is reckoned:
	// on a worker with twice as many, a core of a fill disturbs half as much.
	modelWorkerCores = 16
)

// pacer slows the tasks that fill a worker while they disturb those that serve.
type pacer struct {
	model          *interference.Model
	lastEvictionAt time.Time // when a run was last evicted
	// learnedByAll is what the readings of all workers, this one's included, have taught by
	// the word of an owner that tells only what changes; sharedAt is when it was last
	// taken in.
	learnedByAll map[interference.Pair]interference.Estimate
	mergedAt     time.Time
}

// newPacer returns a pacing that has learned nothing; a target may be missed for
// harmAfter on end.
func newPacer(harmAfter time.Duration) pacer {
	return pacer{model: interference.New(harmAfter), learnedByAll: map[interference.Pair]interference.Estimate{}}
}

// isNeeded reports whether tails of serving tasks are to be looked at closely.
func (paced *pacer) isNeeded(state *workerState) bool {
	serving, filling := false, false
	for _, run := range state.runs {
		serving = serving || run.demand.GetTargetMs() > 0
		filling = filling || run.demand.GetFills()
	}
	return serving && filling
}

// modelCoresPerMilliCPU is what a thousandth of this worker's cores counts for in the model's
// cores.
func (state *workerState) modelCoresPerMilliCPU() float64 {
	return modelWorkerCores / float64(max(state.heartbeat.MilliCPU, millisPerCore))
}

// interferenceTasks returns the runs that serve and those that fill.
func (state *workerState) interferenceTasks(now time.Time) ([]interference.ServingTask, []interference.FillTask) {
	scale := state.modelCoresPerMilliCPU()
	var servings []interference.ServingTask
	var fills []interference.FillTask
	for _, run := range state.runs {
		demand := run.demand
		if demand.GetTargetMs() > 0 {
			servings = append(servings, interference.ServingTask{
				Task: run.task, Image: demand.GetImage(), TailMs: float64(run.reading), TargetMs: float64(demand.GetTargetMs()),
			})
		}
		if demand.GetFills() {
			fills = append(fills, interference.FillTask{
				Task: run.task, Image: demand.GetImage(), Cores: float64(demand.GetMilliCpu()) * scale, UsedCores: float64(run.reading) * scale,
				HasSlack: run.hasSlack(now),
			})
		}
	}
	return servings, fills
}

// adjustPaces adapts the pace of the filling runs to the tails of the serving ones. Without it
// serving tasks are over their targets for longer than is allowed.
func (agent *Agent) adjustPaces(state *workerState, looked bool, now time.Time) {
	servings, fills := state.interferenceTasks(now)
	if looked {
		agent.logTargetChanges(state, now)
		agent.pacer.model.Observe(servings, fills, now)
	}
	paces := agent.pacer.model.Paces(servings, fills)
	if looked {
		agent.evictOne(state, servings, fills, paces, now)
	}
	for _, run := range state.runs {
		if run.demand.GetFills() && run.phase == phaseRunning {
			agent.setPace(state, run, int32(math.Round(paces[run.task]*fullPercent)), looked, now)
		}
	}
}

// setPace brings a run to a pace: at once to a lower one, in steps to a higher one,
// since what a step does shows only in the next reading.
func (agent *Agent) setPace(state *workerState, run *runState, percent int32, looked bool, now time.Time) {
	before := run.pacePercent
	if run.paceUnknown {
		before = run.usedPercent()
	}
	if percent > before {
		if !looked || now.Sub(run.paceRaisedAt) < paceRaiseInterval {
			return
		}
		run.paceRaisedAt = now
		percent = min(percent, before+maxPaceRaise)
	}
	if !run.paceUnknown && !isPaceChangeRelevant(before, percent) {
		return
	}
	run.pacePercent, run.paceUnknown = percent, false
	switch {
	case percent >= slowedPercent:
		run.slowedSince = time.Time{}
	case run.slowedSince.IsZero():
		run.slowedSince = now
	}
	agent.metrics.paceChanges.Add(agent.ctx, 1)
	agent.log(event.FillsPaced, slog.String("task", run.task), slog.Int("percent", int(percent)), slog.Int("before", int(before)))
	go agent.sendPace(state, run, percent, before, state.token)
}

// usedPercent estimates the pace of a run by the share of what it asks for that it uses.
func (run *runState) usedPercent() int32 {
	asked := run.demand.GetMilliCpu()
	if asked <= 0 {
		return fullPercent
	}
	return int32(min(max(run.reading*fullPercent/asked, 0), fullPercent))
}

// isPaceChangeRelevant reports whether a pace differs enough from the one before. Any step to
// full pace does, so that no run is left a little slowed.
func isPaceChangeRelevant(before, percent int32) bool {
	if percent == fullPercent {
		return percent != before
	}
	return percent-before <= -minPaceChange || percent-before >= minPaceChange
}

// sendPace tells the worker a pace. One that did not arrive is sent again with the
// next look.
func (agent *Agent) sendPace(state *workerState, run *runState, percent, before int32, token int64) {
	ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
	defer cancel()
	_, err := state.client.Pace(ctx, run.task, run.attempt, percent, token)
	if err == nil {
		return
	}
	agent.eventLoop.Post(func(now time.Time) {
		agent.log(event.OrderUnsettled, slog.String("task", run.task), slog.String("order", "pace"), slog.Any("error", err))
		run.pacePercent = before
		if agent.worker == state {
			agent.detectRestart(state, err, now)
		}
	})
}
