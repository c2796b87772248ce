package owner

import (
	"time"

	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// shareEvery is how often an agent is told: weights move over seconds, and the
// table takes a kilobyte.
const shareEvery = 1500 * time.Millisecond

// share tells an agent what the readings of all workers have taught.
func (owner *Owner) share(view *agentView, now time.Time) {
	held, owned := owner.shards[job.SharedShard]
	if !owned || !held.active || now.Sub(view.sharedAt) < shareEvery {
		return
	}
	view.sharedAt = now
	view.message.Learned = owner.learnedByOthers(view)
}

// learnedByOthers returns the mean of what the other agents have learned,
// weighted by their readings.
func (owner *Owner) learnedByOthers(view *agentView) []*wire.Interference {
	sums := map[interference.Pair]*wire.Interference{}
	for _, other := range owner.agents {
		if other == view {
			continue
		}
		for _, known := range other.learned {
			pair := interference.Pair{Serving: known.GetServing(), Fill: known.GetFill()}
			sum, found := sums[pair]
			if !found {
				sum = &wire.Interference{Serving: pair.Serving, Fill: pair.Fill}
				sums[pair] = sum
			}
			sum.Weight += known.GetWeight() * float64(known.GetReadings())
			sum.Readings += known.GetReadings()
		}
	}
	told := make([]*wire.Interference, 0, len(sums))
	for _, sum := range sums {
		sum.Weight /= float64(max(sum.Readings, 1))
		told = append(told, sum)
	}
	return told
}
