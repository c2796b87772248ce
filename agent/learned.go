package agent

import (
	"math"
	"time"

	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// unboundedTolerance stands for a worker whose serving tasks bear any amount,
// in thousandths of a core.
const unboundedTolerance = int64(math.MaxInt32)

// tolerances tells how many more cores of each image the serving runs bear.
func (agent *Agent) tolerances(state *workerState, status *wire.WorkerStatus, now time.Time) {
	servings, fills := state.sharing(now)
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
func (paced *pacing) learned() []*job.Interference {
	var told []*job.Interference
	for pair, known := range paced.model.Estimates() {
		if known.Readings > 0 {
			told = append(told, &job.Interference{Serving: pair.Serving, Fill: pair.Fill, Weight: known.Weight, Readings: int32(known.Readings)})
		}
	}
	return told
}

// share takes in what other workers' readings have taught.
func (paced *pacing) share(told []*job.Interference, now time.Time) {
	for _, known := range told {
		paced.model.Share(interference.Pair{Serving: known.GetServing(), Fill: known.GetFill()},
			interference.Estimate{Weight: known.GetWeight(), Readings: int(known.GetReadings())}, now)
	}
}
