package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ServingImage summarizes the tasks of one serving image.
type ServingImage struct {
	Image string `json:"image"`
	// RunTime is how long its tasks ran in total. MissTime is how long they missed their targets in total,
	// and Misses in how many separate periods.
	RunTime  time.Duration `json:"ran"`
	MissTime time.Duration `json:"over"`
	Misses   int           `json:"misses"`
	// MissTimeByFill attributes MissTime to the fill images that ran on the same worker when a miss began. A
	// miss counts in full for each of them.
	MissTimeByFill []LabeledDuration `json:"beside"`
}

// FillImage summarizes the tasks of one fill image.
type FillImage struct {
	Image string `json:"image"`
	Tasks int    `json:"tasks"`
	// MeanEstimate and MeanDuration are means over the tasks that are done: of their estimates, and of the
	// times from their first placement to their end. SlowestTenth is the mean over the tenth with the longest
	// durations.
	MeanEstimate time.Duration `json:"estimated"`
	MeanDuration time.Duration `json:"took"`
	SlowestTenth time.Duration `json:"slowest"`
	// Evictions is the number of runs that were stopped in favor of serving tasks, moves included. SlowedTime is the time
	// lost to paces below 1, and WaitTime the time for which tasks were ready but not placed, both in total.
	Evictions  int           `json:"evicted"`
	SlowedTime time.Duration `json:"slowed"`
	WaitTime   time.Duration `json:"waited"`
}

// servingImages summarizes the serving tasks by image, sorted by MissTime in descending order.
func (h *history) servingImages() []ServingImage {
	byImage := map[string]*ServingImage{}
	summaryOf := func(image string) *ServingImage {
		if byImage[image] == nil {
			byImage[image] = &ServingImage{Image: image}
		}
		return byImage[image]
	}
	for _, task := range h.tasks {
		for _, run := range task.runs {
			if run.isServing && run.outcome != runRefused {
				summaryOf(run.image).RunTime += run.endOr(h.to).Sub(run.placedAt)
			}
		}
	}
	missTimes := map[string]map[string]time.Duration{}
	for _, m := range h.misses {
		summary := summaryOf(m.image)
		summary.Misses++
		summary.MissTime += m.to.Sub(m.from)
		if missTimes[m.image] == nil {
			missTimes[m.image] = map[string]time.Duration{}
		}
		for _, image := range m.fillImages {
			missTimes[m.image][image] += m.to.Sub(m.from)
		}
	}
	var images []ServingImage
	for image, summary := range byImage {
		summary.MissTimeByFill = sortedDurations(missTimes[image])
		images = append(images, *summary)
	}
	slices.SortFunc(images, func(a, b ServingImage) int {
		return cmp.Or(cmp.Compare(b.MissTime, a.MissTime), strings.Compare(a.Image, b.Image))
	})
	return images
}

// fillImages summarizes the fill tasks by image, sorted by MeanDuration in descending order.
func (h *history) fillImages() []FillImage {
	byImage := map[string][]*taskHistory{}
	for _, name := range slices.Sorted(maps.Keys(h.tasks)) {
		task := h.tasks[name]
		if first := task.runs[0]; first.isFill {
			byImage[first.image] = append(byImage[first.image], task)
		}
	}
	var images []FillImage
	for image, tasks := range byImage {
		images = append(images, summarizeFillImage(image, tasks))
	}
	slices.SortFunc(images, func(a, b FillImage) int {
		return cmp.Or(cmp.Compare(b.MeanDuration, a.MeanDuration), strings.Compare(a.Image, b.Image))
	})
	return images
}

func summarizeFillImage(image string, tasks []*taskHistory) FillImage {
	summary := FillImage{Image: image, Tasks: len(tasks)}
	var durations []time.Duration
	for _, task := range tasks {
		for _, run := range task.runs {
			summary.SlowedTime += run.slowedTime
			summary.WaitTime += run.waitTime
			if run.evicted {
				summary.Evictions++
			}
		}
		if last := task.lastRun(); last.outcome == runDone {
			durations = append(durations, last.endedAt.Sub(task.runs[0].placedAt))
			summary.MeanEstimate += last.estimate
		}
	}
	if len(durations) == 0 {
		return summary
	}
	slices.Sort(durations)
	summary.MeanEstimate /= time.Duration(len(durations))
	summary.MeanDuration = mean(durations)
	summary.SlowestTenth = mean(durations[len(durations)-(len(durations)+tenths-1)/tenths:])
	return summary
}

// mean returns the mean of the times. There must be at least one.
func mean(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, t := range times {
		sum += t
	}
	return sum / time.Duration(len(times))
}
