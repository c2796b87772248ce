package owner

import (
	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
)

const (
	// A pair is published again once its mean weight differs by publishWeightDelta from what
	// was published, or its number of readings by the share publishReadingsRatio. Means over
	// many workers change little, so a table of hundreds of pairs causes almost no traffic
	// once the agents know it.
	publishWeightDelta   = 0.02
	publishReadingsRatio = 0.25
)

// learnedTable aggregates the interference estimates of all agents and those that earlier owners
// stored: for each pair of images, the mean weight over all readings (see package interference).
// It is updated incrementally as agents report new estimates. Its version increases whenever a
// published mean changes.
type learnedTable struct {
	pairs map[interference.Pair]*learnedPair
	// byAgent holds the last estimates of each agent, as they are included in pairs.
	byAgent map[*agentView]map[interference.Pair]interference.Estimate
	version int64
}

// learnedPair aggregates the estimates of one pair of images.
type learnedPair struct {
	weightedSum float64 // sum of weights times readings
	readings    int
	// published is the estimate that is sent to agents, and version the version of the table
	// in which it was set; 0 before the first.
	published interference.Estimate
	version   int64
}

func newLearnedTable() *learnedTable {
	return &learnedTable{
		pairs:   map[interference.Pair]*learnedPair{},
		byAgent: map[*agentView]map[interference.Pair]interference.Estimate{},
	}
}

// add adds an estimate to the aggregate of its pair. A factor of -1 subtracts it instead.
func (table *learnedTable) add(pair interference.Pair, estimate interference.Estimate, factor int) {
	aggregate, found := table.pairs[pair]
	if !found {
		aggregate = &learnedPair{}
		table.pairs[pair] = aggregate
	}
	aggregate.weightedSum += float64(factor) * estimate.Weight * float64(estimate.Readings)
	aggregate.readings += factor * estimate.Readings
}

// addStored adds the estimates that earlier owners stored.
func (table *learnedTable) addStored(stored []*job.Interference) {
	for _, record := range stored {
		table.add(record.Pair(), record.Estimate(), 1)
	}
}

// update replaces the estimates of an agent for the pairs given.
func (table *learnedTable) update(view *agentView, learned []*job.Interference) {
	estimates, found := table.byAgent[view]
	if !found {
		estimates = map[interference.Pair]interference.Estimate{}
		table.byAgent[view] = estimates
	}
	for _, reported := range learned {
		pair := reported.Pair()
		table.add(pair, estimates[pair], -1)
		estimates[pair] = reported.Estimate()
		table.add(pair, estimates[pair], 1)
	}
}

// removeAgent removes the estimates of an agent.
func (table *learnedTable) removeAgent(view *agentView) {
	for pair, estimate := range table.byAgent[view] {
		table.add(pair, estimate, -1)
	}
	delete(table.byAgent, view)
}

// estimate returns the mean weight and the number of readings behind it.
func (aggregate *learnedPair) estimate() interference.Estimate {
	return interference.Estimate{Weight: aggregate.weightedSum / float64(max(aggregate.readings, 1)), Readings: aggregate.readings}
}

// publish sets the published estimate of each pair that is new or has changed enough, and begins a
// new version if there is any.
func (table *learnedTable) publish() {
	next := table.version + 1
	for _, aggregate := range table.pairs {
		mean := aggregate.estimate()
		if aggregate.version > 0 && !mean.Differs(aggregate.published, publishWeightDelta, publishReadingsRatio) {
			continue
		}
		aggregate.published, aggregate.version = mean, next
		table.version = next
	}
}

// changedSince returns the published estimates that have changed after a version.
func (table *learnedTable) changedSince(version int64) []*job.Interference {
	var changed []*job.Interference
	for pair, aggregate := range table.pairs {
		if aggregate.version > version {
			changed = append(changed, job.NewInterference(pair, aggregate.published))
		}
	}
	return changed
}

// meansExcluding returns the current means over all agents but one, or over all agents if view is
// nil. Stored estimates are included.
func (table *learnedTable) meansExcluding(view *agentView) []*job.Interference {
	means := make([]*job.Interference, 0, len(table.pairs))
	for pair, aggregate := range table.pairs {
		others := *aggregate
		if own, found := table.byAgent[view][pair]; found {
			others.weightedSum -= own.Weight * float64(own.Readings)
			others.readings -= own.Readings
		}
		if others.readings > 0 {
			means = append(means, job.NewInterference(pair, others.estimate()))
		}
	}
	return means
}

// learnedTable returns the table of the shard that keeps interference estimates, or nil if this
// entry does not own that shard or has not loaded it yet.
func (owner *Owner) learnedTable() *learnedTable {
	s, found := owner.shards[job.InterferenceShard]
	if !found || !s.loaded {
		return nil
	}
	return s.learned
}

// updateLearned adds the estimates that an agent reports to the table.
func (owner *Owner) updateLearned(view *agentView, learned []*job.Interference) {
	if table := owner.learnedTable(); table != nil && len(learned) > 0 {
		table.update(view, learned)
	}
}

// removeLearned removes the estimates of the agent that was at this address before.
func (owner *Owner) removeLearned(view *agentView) {
	if table := owner.learnedTable(); table != nil {
		table.removeAgent(view)
	}
}
