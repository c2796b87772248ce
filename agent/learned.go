package agent

import (
	"math"
	"slices"
	"time"

	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// unlimitedTolerance stands for a worker whose serving tasks bear any amount,
// in thousandths of a core.
const unlimitedTolerance = int64(math.MaxInt32)

// addTolerances tells how many more cores of each image the serving runs bear.
func (agent *Agent) addTolerances(state *workerState, status *wire.WorkerStatus, now time.Time) {
	servings, fills := state.interferenceTasks(now)
	for _, serving := range servings {
		status.ServingImages = append(status.ServingImages, serving.Image)
	}
	slices.Sort(status.ServingImages)
	borne := agent.pacer.model.SpareHeadroom(servings, fills)
	tolerated := func(image string) int64 {
		cores := borne.Tolerance(image)
		if math.IsInf(cores, 1) {
			return unlimitedTolerance
		}
		return int64(cores / state.modelCoresPerMilliCPU())
	}
	status.ToleratedMilliCpu = tolerated("")
	for _, image := range agent.pacer.model.FillImages() {
		status.Tolerances = append(status.Tolerances, &wire.Tolerance{Image: image, MilliCpu: tolerated(image)})
	}
}

// localEstimates lists what this worker's readings have taught.
func (paced *pacer) localEstimates() []*job.Interference {
	var told []*job.Interference
	for pair, known := range paced.model.LocalEstimates() {
		if known.Readings > 0 {
			told = append(told, job.NewInterference(pair, known))
		}
	}
	return told
}

// learnedWeightDelta and learnedReadingsRatio are by how much a weight, and the share by which what it
// rests on, has to differ to be told anew. A weight of 0.02 is a sixth of what readings of
// pairs that don't disturb teach.
const (
	learnedWeightDelta   = 0.02
	learnedReadingsRatio = 0.2
)

// changedEstimates returns the pairs of which the owner has not been told what the readings
// have taught by now, and notes them as told. An owner that takes no changes is told all.
func (owner *session) changedEstimates(learned []*job.Interference) []*job.Interference {
	if !owner.acceptsChanges {
		return learned
	}
	if owner.sentEstimates == nil {
		owner.sentEstimates = map[interference.Pair]interference.Estimate{}
	}
	var anew []*job.Interference
	for _, known := range learned {
		pair, now := known.Pair(), known.Estimate()
		if before, found := owner.sentEstimates[pair]; found && !now.Differs(before, learnedWeightDelta, learnedReadingsRatio) {
			continue
		}
		owner.sentEstimates[pair] = now
		anew = append(anew, known)
	}
	return anew
}

// mergeInterval is how often what was kept of others is taken in again, so that the weights
// that other workers read pull on those read here as steadily as their readings come.
const mergeInterval = 1500 * time.Millisecond

// setLearnedByAll takes in what the readings of all workers together have taught of some pairs, and
// keeps it.
func (paced *pacer) setLearnedByAll(told []*job.Interference, now time.Time) {
	for _, known := range told {
		pair := known.Pair()
		paced.learnedByAll[pair] = known.Estimate()
		paced.mergePair(pair, paced.model.LocalEstimate(pair), now)
	}
}

// mergeLearnedByAll takes what was kept in once more, if that is due.
func (paced *pacer) mergeLearnedByAll(now time.Time) {
	if now.Sub(paced.mergedAt) < mergeInterval {
		return
	}
	paced.mergedAt = now
	for pair := range paced.learnedByAll {
		paced.mergePair(pair, paced.model.LocalEstimate(pair), now)
	}
}

// mergePair takes in what all workers but this one have taught of a pair.
func (paced *pacer) mergePair(pair interference.Pair, own interference.Estimate, now time.Time) {
	all := paced.learnedByAll[pair]
	others := all.Readings - own.Readings
	if others <= 0 {
		return
	}
	weight := (all.Weight*float64(all.Readings) - own.Weight*float64(own.Readings)) / float64(others)
	paced.model.MergeRemoteEstimate(pair, interference.Estimate{Weight: weight, Readings: others}, now)
}

// mergeLearned takes in what other workers' readings have taught, by the word of an owner that tells
// all of it each time: what was kept of one that tells changes holds no longer.
func (paced *pacer) mergeLearned(told []*job.Interference, now time.Time) {
	if len(told) > 0 {
		clear(paced.learnedByAll)
	}
	for _, known := range told {
		paced.model.MergeRemoteEstimate(known.Pair(), known.Estimate(), now)
	}
}
