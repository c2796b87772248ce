package agent

import (
	"context"
	"log/slog"
	"math"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/wire"
)

const (
	// fasterStep is the most by which a pace rises from one look to the next.
	// A reading is taken over half a second, so a larger step would not be
	// seen before the next one.
	fasterStep = 30
	// fasterEvery keeps such steps apart where looks follow each other closely,
	// because ends wait to be made durable.
	fasterEvery = 300 * time.Millisecond
	// evictEvery keeps evictions from a worker apart, so that what one brought
	// shows before the next.
	evictEvery = 300 * time.Millisecond
	// evictAfter is how long a run is left where it is at least: it has begun
	// to save its progress by then.
	evictAfter = 600 * time.Millisecond
	// paceChange is the least change that is sent.
	paceChange = 4
	// fullPercent is the pace of a run that is not slowed.
	fullPercent = 100
	// unboundedTolerance stands for a worker whose serving tasks bear any amount,
	// in thousandths of a core.
	unboundedTolerance = int64(math.MaxInt32)
	// milli is the number of thousandths in a core.
	milli = 1000
	// modelCores is the size of worker in whose cores interference is reckoned:
	// on a worker with twice as many, a core of a fill disturbs half as much.
	modelCores = 16
)

// pacing slows the tasks that fill a worker while they disturb those that serve.
type pacing struct {
	model     *interference.Model
	evictedAt time.Time
}

func newPacing(harmAfter time.Duration) pacing {
	return pacing{model: interference.New(harmAfter)}
}

// watching reports whether tails of serving tasks are to be looked at closely.
func (paced *pacing) watching(state *workerState) bool {
	serving, filling := false, false
	for _, run := range state.runs {
		serving = serving || run.demand.GetTargetMs() > 0
		filling = filling || run.demand.GetFills()
	}
	return serving && filling
}

// modelScale is what a thousandth of a core counts for in the model.
func (state *workerState) modelScale() float64 {
	return modelCores / float64(max(state.beat.MilliCPU, milli))
}

// sharing returns the runs that serve and those that fill.
func (state *workerState) sharing() ([]interference.Serving, []interference.Fill) {
	scale := state.modelScale()
	var servings []interference.Serving
	var fills []interference.Fill
	for _, run := range state.runs {
		demand := run.demand
		if demand.GetTargetMs() > 0 {
			servings = append(servings, interference.Serving{
				Task: run.task, Image: demand.GetImage(), Tail: float64(run.figure), Target: float64(demand.GetTargetMs()),
			})
		}
		if demand.GetFills() {
			fills = append(fills, interference.Fill{
				Task: run.task, Image: demand.GetImage(), Cores: float64(demand.GetMilliCpu()) * scale, Used: float64(run.figure) * scale,
			})
		}
	}
	return servings, fills
}

// pace adapts the pace of the filling runs to the tails of the serving ones.
func (agent *Agent) pace(state *workerState, looked bool, now time.Time) {
	servings, fills := state.sharing()
	if looked {
		agent.paced.model.Observe(servings, fills, now)
	}
	paces := agent.paced.model.Paces(servings, fills)
	if looked {
		agent.evictWorst(state, servings, fills, now)
	}
	for _, run := range state.runs {
		if run.demand.GetFills() && run.phase == phaseRunning {
			agent.paceRun(state, run, int32(math.Round(paces[run.task]*fullPercent)), looked, now)
		}
	}
}

// evictWorst stops the run that disturbs most, if it goes on elsewhere from its
// checkpoint: its owner finds a worker that bears it. One that does not save its
// progress is only slowed.
func (agent *Agent) evictWorst(state *workerState, servings []interference.Serving, fills []interference.Fill, now time.Time) {
	if now.Sub(agent.paced.evictedAt) < evictEvery {
		return
	}
	for index := range fills {
		run := state.runs[fills[index].Task]
		fills[index].Movable = run.demand.GetMovable() && run.phase == phaseRunning && now.Sub(run.confirmedAt) >= evictAfter
	}
	worst, found := agent.paced.model.Worst(servings, fills)
	if !found {
		return
	}
	agent.paced.evictedAt = now
	agent.meters.evicted.Add(agent.ctx, 1)
	run := state.runs[worst]
	agent.logRun(event.RunEvicted, run, slog.String("image", run.demand.GetImage()), slog.Int("percent_done", int(run.percent)))
	agent.stopRun(state, run, now)
}

func (agent *Agent) paceRun(state *workerState, run *runState, percent int32, looked bool, now time.Time) {
	before := run.pace
	if percent > before {
		if !looked || now.Sub(run.fasterAt) < fasterEvery {
			return
		}
		run.fasterAt = now
		percent = min(percent, before+fasterStep)
	}
	if change := percent - before; change > -paceChange && change < paceChange && percent != fullPercent || change == 0 {
		return
	}
	run.pace = percent
	agent.meters.paced.Add(agent.ctx, 1)
	agent.log(event.FillsPaced, slog.String("task", run.task), slog.Int("percent", int(percent)), slog.Int("before", int(before)))
	token := state.token
	go func() {
		ctx, cancel := context.WithTimeout(agent.ctx, callTimeout)
		defer cancel()
		_, err := state.calls.Pace(ctx, run.task, run.attempt, percent, token)
		if err == nil {
			return
		}
		agent.decisions.Post(func(time.Time) {
			agent.log(event.OrderUnsettled, slog.String("task", run.task), slog.String("order", "pace"), slog.Any("error", err))
			// Sent again with the next look.
			run.pace = before
		})
	}()
}

// tolerances tells how many more cores of each image the serving runs bear.
func (agent *Agent) tolerances(state *workerState, status *wire.WorkerStatus) {
	servings, fills := state.sharing()
	tolerated := func(image string) int64 {
		cores := agent.paced.model.Tolerance(servings, fills, image)
		if math.IsInf(cores, 1) {
			return unboundedTolerance
		}
		return int64(cores / state.modelScale())
	}
	status.ToleratedMilliCpu = tolerated("")
	for _, serving := range servings {
		status.ServingImages = append(status.ServingImages, serving.Image)
	}
	for _, image := range agent.paced.model.Images() {
		status.Tolerances = append(status.Tolerances, &wire.Tolerance{Image: image, MilliCpu: tolerated(image)})
	}
}

// learned lists what this worker's readings have taught.
func (paced *pacing) learned() []*wire.Interference {
	var told []*wire.Interference
	for pair, known := range paced.model.Estimates() {
		if known.Readings > 0 {
			told = append(told, &wire.Interference{Serving: pair.Serving, Fill: pair.Fill, Weight: known.Weight, Readings: int32(known.Readings)})
		}
	}
	return told
}

// share takes in what other workers' readings have taught.
func (paced *pacing) share(told []*wire.Interference) {
	for _, known := range told {
		paced.model.Share(interference.Pair{Serving: known.GetServing(), Fill: known.GetFill()},
			interference.Estimate{Weight: known.GetWeight(), Readings: int(known.GetReadings())})
	}
}
