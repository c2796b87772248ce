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
	// maxPaceRaise is the largest increase of a pace, in percentage points, from one poll to the next. A
	// reading covers half a second, so the effect of a larger increase would not show before the next one.
	maxPaceRaise = 30
	// paceRaiseInterval is the minimum time between two increases of a pace. Polls follow each other more
	// closely while ends wait to be stored.
	paceRaiseInterval = 300 * time.Millisecond
	// adoptedPaceDelay is how long the pace of an adopted run is not raised. Until then little is known of
	// the serving runs beside it; owners send what other workers have learned within 1.5 s.
	adoptedPaceDelay = 2 * time.Second
	// minPaceChange is the smallest change of a pace, in percentage points, that is sent to the worker.
	minPaceChange = 4
	// fullPercent is the pace of a run that is not slowed, and the progress of one that is done.
	fullPercent = 100
	// millisPerCore is the number of thousandths in a core.
	millisPerCore = 1000
	// modelWorkerCores is the size of the worker, in cores, to which the interference model normalizes core
	// counts: on a worker with twice as many cores, a core of fill work interferes half as much.
	modelWorkerCores = 16
)

// pacer limits the CPU use of fill runs while they interfere with serving runs. A pace is the percentage of
// the CPU that a run asks for which the worker lets it use.
type pacer struct {
	model          *interference.Model
	lastEvictionAt time.Time
	// learnedByAll holds estimates that are based on the readings of all workers, this one included. They
	// come from an owner that sends only changes; mergedAt is when they were last merged into the model.
	learnedByAll map[interference.Pair]interference.Estimate
	mergedAt     time.Time
}

// newPacer returns a pacer without any estimates. A serving run may miss its target for maxMiss at a time.
func newPacer(maxMiss time.Duration) pacer {
	return pacer{model: interference.New(maxMiss), learnedByAll: map[interference.Pair]interference.Estimate{}}
}

// isNeeded reports whether the worker has both serving and fill runs, so that the tail latencies of the
// serving ones have to be polled more often.
func (p *pacer) isNeeded(state *workerState) bool {
	hasServing, hasFill := false, false
	for _, run := range state.runs {
		hasServing = hasServing || run.demand.GetTargetMs() > 0
		hasFill = hasFill || run.demand.GetFills()
	}
	return hasServing && hasFill
}

// modelCoresPerMilliCPU converts thousandths of this worker's cores to cores of a worker with
// modelWorkerCores.
func (state *workerState) modelCoresPerMilliCPU() float64 {
	return modelWorkerCores / float64(max(state.heartbeat.MilliCPU, millisPerCore))
}

// interferenceTasks returns the serving and the fill runs as the interference model takes them.
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

// adjustPaces adapts the paces of the fill runs to the tail latencies of the serving ones. Without it,
// serving runs miss their targets for longer than allowed. If polled is set, there are new readings from a
// poll: the model learns from them, and a run may be evicted.
func (agent *Agent) adjustPaces(state *workerState, polled bool, now time.Time) {
	servings, fills := state.interferenceTasks(now)
	if polled {
		agent.logTargetChanges(state, now)
		agent.pacer.model.Observe(servings, fills, now)
	}
	paces := agent.pacer.model.Paces(servings, fills)
	if polled {
		agent.evictOne(state, servings, fills, paces, now)
	}
	for _, run := range state.runs {
		if run.demand.GetFills() && run.phase == phaseRunning {
			agent.setPace(state, run, int32(math.Round(paces[run.task]*fullPercent)), polled, now)
		}
	}
}

// setPace changes the pace of a run to percent. It lowers the pace at once but raises it in steps, one after
// a poll, because the effect of a step shows only in the next reading.
func (agent *Agent) setPace(state *workerState, run *runState, percent int32, polled bool, now time.Time) {
	before := run.pacePercent
	if run.paceUnknown {
		before = run.usedPercent()
	}
	if percent > before {
		if !polled || now.Sub(run.paceRaisedAt) < paceRaiseInterval {
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

// usedPercent returns the CPU that the run uses as a percentage of what it asks for, as an estimate of its
// pace.
func (run *runState) usedPercent() int32 {
	requested := run.demand.GetMilliCpu()
	if requested <= 0 {
		return fullPercent
	}
	return int32(min(max(run.reading*fullPercent/requested, 0), fullPercent))
}

// isPaceChangeRelevant reports whether a change of pace is large enough to be sent. Any change to full pace
// is, so that no run stays slightly slowed.
func isPaceChangeRelevant(before, percent int32) bool {
	if percent == fullPercent {
		return percent != before
	}
	return percent-before <= -minPaceChange || percent-before >= minPaceChange
}

// sendPace sends a run's pace to the worker. If that fails, the pace before is restored, so that the change
// is sent again after the next poll.
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
