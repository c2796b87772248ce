package owner

import (
	"time"

	"ambertiller.example/ambertiller/interference"
	"ambertiller.example/ambertiller/job"
)

// shareEvery is how often an agent is told: weights move over seconds, and the
// table takes a kilobyte.
const shareEvery = 1500 * time.Millisecond

// share tells an agent what the readings of all workers have taught. With what each has
// learned alone a day is worth 0.056 less (18 pairs of days).
func (owner *Owner) share(view *agentView, now time.Time) {
	held, owned := owner.shards[job.SharedShard]
	if !owned || !held.active || now.Sub(view.sharedAt) < shareEvery {
		return
	}
	view.sharedAt = now
	view.message.Learned = owner.learnedByOthers(held, view)
}

// learnedByOthers returns the mean of what the other agents have learned, and what was
// remembered of earlier ones, weighted by readings. A nil view stands for none: all are
// others.
func (owner *Owner) learnedByOthers(held *shard, view *agentView) []*job.Interference {
	sums := map[interference.Pair]*job.Interference{}
	addLearned(sums, held.remembered)
	for _, other := range owner.agents {
		if other != view {
			addLearned(sums, other.learned)
		}
	}
	told := make([]*job.Interference, 0, len(sums))
	for _, sum := range sums {
		sum.Weight /= float64(max(sum.Readings, 1))
		told = append(told, sum)
	}
	return told
}

// addLearned adds what was learned to sums of weights times readings.
func addLearned(sums map[interference.Pair]*job.Interference, learned []*job.Interference) {
	for _, known := range learned {
		pair := interference.Pair{Serving: known.GetServing(), Fill: known.GetFill()}
		sum, found := sums[pair]
		if !found {
			sum = &job.Interference{Serving: pair.Serving, Fill: pair.Fill}
			sums[pair] = sum
		}
		sum.Weight += known.GetWeight() * float64(known.GetReadings())
		sum.Readings += known.GetReadings()
	}
}
