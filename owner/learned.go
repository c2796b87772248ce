package owner

import (
	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
)

const (
	// publishedWeight and publishedReadings are by how much a mean weight, and the share
	// by which what it rests on, has to differ from what agents were told to be told
	// anew. The means of many workers hardly move, so that a table of hundreds of pairs
	// costs next to nothing once it is known.
	publishedWeight   = 0.02
	publishedReadings = 0.25
)

// learnedTable puts together what the agents have learned of interference, and what was
// remembered of earlier ones: for each pair the mean weight by readings. It is kept up by
// what agents tell anew, and knows what has changed since which version.
type learnedTable struct {
	sums map[interference.Pair]*learnedSum
	// byAgent is what each agent has taught, as it is contained in the sums.
	byAgent map[*agentView]map[interference.Pair]interference.Estimate
	version int64
}

// learnedSum is what is known of one pair.
type learnedSum struct {
	weighted float64 // sum of weights times readings
	readings int
	// told is what agents are told, and since which version of the table.
	told    interference.Estimate
	version int64
}

func newLearnedTable() *learnedTable {
	return &learnedTable{
		sums:    map[interference.Pair]*learnedSum{},
		byAgent: map[*agentView]map[interference.Pair]interference.Estimate{},
	}
}

// add adds an estimate of a pair to its sum, or takes it away with a negative factor.
func (table *learnedTable) add(pair interference.Pair, known interference.Estimate, factor int) {
	sum, found := table.sums[pair]
	if !found {
		sum = &learnedSum{}
		table.sums[pair] = sum
	}
	sum.weighted += float64(factor) * known.Weight * float64(known.Readings)
	sum.readings += factor * known.Readings
}

// remember takes in what earlier owners wrote.
func (table *learnedTable) remember(remembered []*job.Interference) {
	for _, known := range remembered {
		table.add(known.Pair(), known.Estimate(), 1)
	}
}

// note takes in what an agent has learned of some pairs, in place of what it told before.
func (table *learnedTable) note(view *agentView, learned []*job.Interference) {
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

// forget takes away what an agent has taught.
func (table *learnedTable) forget(view *agentView) {
	for pair, taught := range table.byAgent[view] {
		table.add(pair, taught, -1)
	}
	delete(table.byAgent, view)
}

// estimate returns the mean of a sum.
func (sum *learnedSum) estimate() interference.Estimate {
	return interference.Estimate{Weight: sum.weighted / float64(max(sum.readings, 1)), Readings: sum.readings}
}

// publish begins a new version if what agents are told of any pair has changed.
func (table *learnedTable) publish() {
	next := table.version + 1
	for _, sum := range table.sums {
		mean := sum.estimate()
		if sum.version > 0 && !mean.Differs(sum.told, publishedWeight, publishedReadings) {
			continue
		}
		sum.told, sum.version = mean, next
		table.version = next
	}
}

// since lists the pairs that have changed after a version, as agents are told them.
func (table *learnedTable) since(version int64) []*job.Interference {
	var changed []*job.Interference
	for pair, sum := range table.sums {
		if sum.version > version {
			changed = append(changed, job.NewInterference(pair, sum.told))
		}
	}
	return changed
}

// without lists the means of what all agents but one have taught; nil leaves out none.
func (table *learnedTable) without(view *agentView) []*job.Interference {
	listed := make([]*job.Interference, 0, len(table.sums))
	for pair, sum := range table.sums {
		others := *sum
		if own, taught := table.byAgent[view][pair]; taught {
			others.weighted -= own.Weight * float64(own.Readings)
			others.readings -= own.Readings
		}
		if others.readings > 0 {
			listed = append(listed, job.NewInterference(pair, others.estimate()))
		}
	}
	return listed
}

// learned returns the table of the shared shard, nil if it is not owned.
func (owner *Owner) learned() *learnedTable {
	held, owned := owner.shards[job.InterferenceShard]
	if !owned || !held.active {
		return nil
	}
	return held.learned
}

// noteLearned takes in what an agent has learned.
func (owner *Owner) noteLearned(view *agentView, learned []*job.Interference) {
	if table := owner.learned(); table != nil && len(learned) > 0 {
		table.note(view, learned)
	}
}

// forgetLearned drops what the agent before the present one at an address has taught.
func (owner *Owner) forgetLearned(view *agentView) {
	if table := owner.learned(); table != nil {
		table.forget(view)
	}
}
