package owner

import (
	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
)

const (
	// publishWeightDelta and publishReadingsRatio are by how much a mean weight, and the share
	// by which what it rests on, has to differ from what agents were told to be told
	// anew. The means of many workers hardly move, so that a table of hundreds of pairs
	// costs next to nothing once it is known.
	publishWeightDelta   = 0.02
	publishReadingsRatio = 0.25
)

// learnedTable puts together what the agents have learned of interference, and what was
// remembered of earlier ones: for each pair the mean weight by readings. It is kept up by
// what agents tell anew, and knows what has changed since which version.
type learnedTable struct {
	pairs map[interference.Pair]*learnedPair
	// byAgent is what each agent has taught, as it is contained in the sums.
	byAgent map[*agentView]map[interference.Pair]interference.Estimate
	version int64
}

// learnedPair is what is known of one pair.
type learnedPair struct {
	weightedSum float64 // sum of weights times readings
	readings    int
	// published is what agents are told, and since which version of the table.
	published interference.Estimate
	version   int64
}

func newLearnedTable() *learnedTable {
	return &learnedTable{
		pairs:   map[interference.Pair]*learnedPair{},
		byAgent: map[*agentView]map[interference.Pair]interference.Estimate{},
	}
}

// add adds an estimate of a pair to its sum, or takes it away with a negative factor.
func (table *learnedTable) add(pair interference.Pair, known interference.Estimate, factor int) {
	sum, found := table.pairs[pair]
	if !found {
		sum = &learnedPair{}
		table.pairs[pair] = sum
	}
	sum.weightedSum += float64(factor) * known.Weight * float64(known.Readings)
	sum.readings += factor * known.Readings
}

// addStored takes in what earlier owners wrote.
func (table *learnedTable) addStored(remembered []*job.Interference) {
	for _, known := range remembered {
		table.add(known.Pair(), known.Estimate(), 1)
	}
}

// update takes in what an agent has learned of some pairs, in place of what it told before.
func (table *learnedTable) update(view *agentView, learned []*job.Interference) {
	taught, found := table.byAgent[view]
	if !found {
		taught = map[interference.Pair]interference.Estimate{}
		table.byAgent[view] = taught
	}
	for _, known := range learned {
		pair := known.Pair()
		table.add(pair, taught[pair], -1)
		taught[pair] = known.Estimate()
		table.add(pair, taught[pair], 1)
	}
}

// removeAgent takes away what an agent has taught.
func (table *learnedTable) removeAgent(view *agentView) {
	for pair, taught := range table.byAgent[view] {
		table.add(pair, taught, -1)
	}
	delete(table.byAgent, view)
}

// estimate returns the mean of a sum.
func (sum *learnedPair) estimate() interference.Estimate {
	return interference.Estimate{Weight: sum.weightedSum / float64(max(sum.readings, 1)), Readings: sum.readings}
}

// publish begins a new version if what agents are told of any pair has changed.
func (table *learnedTable) publish() {
	next := table.version + 1
	for _, sum := range table.pairs {
		mean := sum.estimate()
		if sum.version > 0 && !mean.Differs(sum.published, publishWeightDelta, publishReadingsRatio) {
			continue
		}
		sum.published, sum.version = mean, next
		table.version = next
	}
}

// changedSince lists the pairs that have changed after a version, as agents are told them.
func (table *learnedTable) changedSince(version int64) []*job.Interference {
	var changed []*job.Interference
	for pair, sum := range table.pairs {
		if sum.version > version {
			changed = append(changed, job.NewInterference(pair, sum.published))
		}
	}
	return changed
}

// meansExcluding lists the means of what all agents but one have taught; nil leaves out none.
func (table *learnedTable) meansExcluding(view *agentView) []*job.Interference {
	listed := make([]*job.Interference, 0, len(table.pairs))
	for pair, sum := range table.pairs {
		others := *sum
		if own, taught := table.byAgent[view][pair]; taught {
			others.weightedSum -= own.Weight * float64(own.Readings)
			others.readings -= own.Readings
		}
		if others.readings > 0 {
			listed = append(listed, job.NewInterference(pair, others.estimate()))
		}
	}
	return listed
}

// learnedTable returns the table of the shared shard, nil if it is not owned.
func (owner *Owner) learnedTable() *learnedTable {
	held, owned := owner.shards[job.InterferenceShard]
	if !owned || !held.loaded {
		return nil
	}
	return held.learned
}

// updateLearned takes in what an agent has learned.
func (owner *Owner) updateLearned(view *agentView, learned []*job.Interference) {
	if table := owner.learnedTable(); table != nil && len(learned) > 0 {
		table.update(view, learned)
	}
}

// removeLearned drops what the agent before the present one at an address has taught.
func (owner *Owner) removeLearned(view *agentView) {
	if table := owner.learnedTable(); table != nil {
		table.removeAgent(view)
	}
}
