package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ServingImage is what became of the tasks of one serving image.
type ServingImage struct {
	Image string `json:"image"`
	// RunTime is how long its tasks ran, Over how long they missed their targets, in how
	// many Misses.
	RunTime  time.Duration `json:"ran"`
	MissTime time.Duration `json:"over"`
	Misses   int           `json:"misses"`
	// MissTimeByFill is for how much of that time each filling image was there when the miss
	// began.
	MissTimeByFill []LabeledDuration `json:"beside"`
}

// FillImage is what became of the tasks of one filling image.
type FillImage struct {
	Image string `json:"image"`
	Tasks int    `json:"tasks"`
	// MeanEstimate and Took are means of done tasks: the estimate, and the time from the
	// first place to the end. Slowest is the longest tenth's mean of Took.
	MeanEstimate time.Duration `json:"estimated"`
	MeanDuration time.Duration `json:"took"`
	SlowestTenth time.Duration `json:"slowest"`
	// Evictions counts runs that were stopped for serving tasks, Slowed adds up what
	// paces below 1 have cost, Waited how long tasks were ready without a place.
	Evictions  int           `json:"evicted"`
	SlowedTime time.Duration `json:"slowed"`
	WaitTime   time.Duration `json:"waited"`
}

func (past *history) servingImages() []ServingImage {
	byImage := map[string]*ServingImage{}
	of := func(image string) *ServingImage {
		if byImage[image] == nil {
			byImage[image] = &ServingImage{Image: image}
		}
		return byImage[image]
	}
	for _, task := range past.tasks {
		for _, run := range task.runs {
			if run.isServing && run.outcome != runRefused {
				of(run.image).RunTime += run.endOr(past.to).Sub(run.placedAt)
			}
		}
	}
	beside := map[string]map[string]time.Duration{}
	for _, one := range past.misses {
		sum := of(one.image)
		sum.Misses++
		sum.MissTime += one.to.Sub(one.from)
		if beside[one.image] == nil {
			beside[one.image] = map[string]time.Duration{}
		}
		for _, image := range one.fillImages {
			beside[one.image][image] += one.to.Sub(one.from)
		}
	}
	var found []ServingImage
	for image, sum := range byImage {
		sum.MissTimeByFill = sortedDurations(beside[image])
		found = append(found, *sum)
	}
	slices.SortFunc(found, func(a, b ServingImage) int {
		return cmp.Or(cmp.Compare(b.MissTime, a.MissTime), strings.Compare(a.Image, b.Image))
	})
	return found
}

func (past *history) fillImages() []FillImage {
	byImage := map[string][]*taskHistory{}
	for _, name := range slices.Sorted(maps.Keys(past.tasks)) {
		task := past.tasks[name]
		if first := task.runs[0]; first.isFill {
			byImage[first.image] = append(byImage[first.image], task)
		}
	}
	var found []FillImage
	for image, tasks := range byImage {
		found = append(found, summarizeFillImage(image, tasks))
	}
	slices.SortFunc(found, func(a, b FillImage) int {
		return cmp.Or(cmp.Compare(b.MeanDuration, a.MeanDuration), strings.Compare(a.Image, b.Image))
	})
	return found
}

func summarizeFillImage(image string, tasks []*taskHistory) FillImage {
	sum := FillImage{Image: image, Tasks: len(tasks)}
	var took []time.Duration
	for _, task := range tasks {
		for _, run := range task.runs {
			sum.SlowedTime += run.slowedTime
			sum.WaitTime += run.waitTime
			if run.evicted {
				sum.Evictions++
			}
		}
		if last := task.lastRun(); last.outcome == runDone {
			took = append(took, last.endedAt.Sub(task.runs[0].placedAt))
			sum.MeanEstimate += last.estimate
		}
	}
	if len(took) == 0 {
		return sum
	}
	slices.Sort(took)
	sum.MeanEstimate /= time.Duration(len(took))
	sum.MeanDuration = mean(took)
	sum.SlowestTenth = mean(took[len(took)-(len(took)+tenths-1)/tenths:])
	return sum
}

// mean returns the mean of times, of which there is at least one.
func mean(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, one := range times {
		sum += one
	}
	return sum / time.Duration(len(times))
}
