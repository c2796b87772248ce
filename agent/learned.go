package agent

import (
	"math"
	"slices"
	"time"

	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// unlimitedTolerance is the tolerance, in thousandths of a core, of a worker whose serving runs tolerate any
// amount of fill work.
const unlimitedTolerance = int64(math.MaxInt32)

// addTolerances adds to the status the images of the serving runs, and how many more thousandths of a core
// of fill work they tolerate: of each fill image that the model knows, and of any other image.
func (agent *Agent) addTolerances(state *workerState, status *wire.WorkerStatus, now time.Time) {
	servings, fills := state.interferenceTasks(now)
	for _, serving := range servings {
		status.ServingImages = append(status.ServingImages, serving.Image)
	}
	slices.Sort(status.ServingImages)
	spare := agent.pacer.model.SpareHeadroom(servings, fills)
	tolerance := func(image string) int64 {
		cores := spare.Tolerance(image)
		if math.IsInf(cores, 1) {
			return unlimitedTolerance
		}
		return int64(cores / state.modelCoresPerMilliCPU())
	}
	status.ToleratedMilliCpu = tolerance("")
	for _, image := range agent.pacer.model.FillImages() {
		status.Tolerances = append(status.Tolerances, &wire.Tolerance{Image: image, MilliCpu: tolerance(image)})
	}
}

// localEstimates lists the interference estimates that are based on this worker's own readings.
func (p *pacer) localEstimates() []*job.Interference {
	var listed []*job.Interference
	for pair, estimate := range p.model.LocalEstimates() {
		if estimate.Readings > 0 {
			listed = append(listed, job.NewInterference(pair, estimate))
		}
	}
	return listed
}

// An estimate is sent again once its weight differs by learnedWeightDelta from the last one sent, or the
// number of readings behind it by learnedReadingsRatio. A weight of 0.02 is a sixth of what readings yield
// for pairs that do not interfere.
const (
	learnedWeightDelta   = 0.02
	learnedReadingsRatio = 0.2
)

// changedEstimates returns the estimates that differ enough from those that the session has sent, and records
// them as sent. It returns all of them for an owner that does not accept changes.
func (s *session) changedEstimates(learned []*job.Interference) []*job.Interference {
	if !s.acceptsChanges {
		return learned
	}
	if s.sentEstimates == nil {
		s.sentEstimates = map[interference.Pair]interference.Estimate{}
	}
	var changed []*job.Interference
	for _, record := range learned {
		pair, estimate := record.Pair(), record.Estimate()
		if sent, found := s.sentEstimates[pair]; found && !estimate.Differs(sent, learnedWeightDelta, learnedReadingsRatio) {
			continue
		}
		s.sentEstimates[pair] = estimate
		changed = append(changed, record)
	}
	return changed
}

// mergeInterval is how often the estimates of all workers are merged into the model again. Owners send them
// only when they change; repeated merging gives other workers' readings a steady influence, as if they still
// arrived one by one.
const mergeInterval = 1500 * time.Millisecond

// setLearnedByAll stores estimates that are based on the readings of all workers, this one included, and
// merges them into the model. They replace those known of the same pairs.
func (p *pacer) setLearnedByAll(learned []*job.Interference, now time.Time) {
	for _, record := range learned {
		pair := record.Pair()
		p.learnedByAll[pair] = record.Estimate()
		p.mergePair(pair, p.model.LocalEstimate(pair), now)
	}
}

// mergeLearnedByAll merges the stored estimates of all workers into the model again, once per mergeInterval.
func (p *pacer) mergeLearnedByAll(now time.Time) {
	if now.Sub(p.mergedAt) < mergeInterval {
		return
	}
	p.mergedAt = now
	for pair := range p.learnedByAll {
		p.mergePair(pair, p.model.LocalEstimate(pair), now)
	}
}

// mergePair merges the estimate of all other workers for a pair into the model: the estimate of all workers
// less this worker's own share.
func (p *pacer) mergePair(pair interference.Pair, own interference.Estimate, now time.Time) {
	all := p.learnedByAll[pair]
	others := all.Readings - own.Readings
	if others <= 0 {
		return
	}
	weight := (all.Weight*float64(all.Readings) - own.Weight*float64(own.Readings)) / float64(others)
	p.model.MergeRemoteEstimate(pair, interference.Estimate{Weight: weight, Readings: others}, now)
}

// mergeLearned merges the estimates of other workers into the model. They come from an owner that sends all
// of them each time, so that estimates stored from an owner that sends changes are dropped.
func (p *pacer) mergeLearned(learned []*job.Interference, now time.Time) {
	if len(learned) > 0 {
		clear(p.learnedByAll)
	}
	for _, record := range learned {
		p.model.MergeRemoteEstimate(record.Pair(), record.Estimate(), now)
	}
}
