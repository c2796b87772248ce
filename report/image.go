package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Serving is what became of the tasks of one serving image.
type Serving struct {
	Image string `json:"image"`
	// Ran is how long its tasks ran, Over how long they missed their targets, in how
	// many Misses.
	Ran    time.Duration `json:"ran"`
	Over   time.Duration `json:"over"`
	Misses int           `json:"misses"`
	// Beside is for how much of that time each filling image was there when the miss
	// began.
	Beside []Span `json:"beside"`
}

// Filling is what became of the tasks of one filling image.
type Filling struct {
	Image string `json:"image"`
	Tasks int    `json:"tasks"`
	// Estimated and Took are means of done tasks: the estimate, and the time from the
	// first place to the end. Slowest is the longest tenth's mean of Took.
	Estimated time.Duration `json:"estimated"`
	Took      time.Duration `json:"took"`
	Slowest   time.Duration `json:"slowest"`
	// Evicted counts runs that were stopped for serving tasks, Slowed adds up what
	// paces below 1 have cost, Waited how long tasks were ready without a place.
	Evicted int           `json:"evicted"`
	Slowed  time.Duration `json:"slowed"`
	Waited  time.Duration `json:"waited"`
}

func (past *history) serving() []Serving {
	byImage := map[string]*Serving{}
	of := func(image string) *Serving {
		if byImage[image] == nil {
			byImage[image] = &Serving{Image: image}
		}
		return byImage[image]
	}
	for _, task := range past.tasks {
		for _, run := range task.runs {
			if run.serves && run.how != runRefused {
				of(run.image).Ran += run.until(past.to).Sub(run.placedAt)
			}
		}
	}
	beside := map[string]map[string]time.Duration{}
	for _, one := range past.misses {
		sum := of(one.image)
		sum.Misses++
		sum.Over += one.to.Sub(one.from)
		if beside[one.image] == nil {
			beside[one.image] = map[string]time.Duration{}
		}
		for _, image := range one.beside {
			beside[one.image][image] += one.to.Sub(one.from)
		}
	}
	var found []Serving
	for image, sum := range byImage {
		sum.Beside = spans(beside[image])
		found = append(found, *sum)
	}
	slices.SortFunc(found, func(a, b Serving) int { return cmp.Or(cmp.Compare(b.Over, a.Over), strings.Compare(a.Image, b.Image)) })
	return found
}

func (past *history) filling() []Filling {
	byImage := map[string][]*taskHistory{}
	for _, name := range slices.Sorted(maps.Keys(past.tasks)) {
		task := past.tasks[name]
		if first := task.runs[0]; first.fills {
			byImage[first.image] = append(byImage[first.image], task)
		}
	}
	var found []Filling
	for image, tasks := range byImage {
		found = append(found, summarizeFilling(image, tasks))
	}
	slices.SortFunc(found, func(a, b Filling) int { return cmp.Or(cmp.Compare(b.Took, a.Took), strings.Compare(a.Image, b.Image)) })
	return found
}

func summarizeFilling(image string, tasks []*taskHistory) Filling {
	sum := Filling{Image: image, Tasks: len(tasks)}
	var took []time.Duration
	for _, task := range tasks {
		for _, run := range task.runs {
			sum.Slowed += run.slowed
			sum.Waited += run.waited
			if run.evicted {
				sum.Evicted++
			}
		}
		if last := task.last(); last.how == runDone {
			took = append(took, last.endedAt.Sub(task.runs[0].placedAt))
			sum.Estimated += last.estimate
		}
	}
	if len(took) == 0 {
		return sum
	}
	slices.Sort(took)
	sum.Estimated /= time.Duration(len(took))
	sum.Took = meanOf(took)
	sum.Slowest = meanOf(took[len(took)-(len(took)+tenths-1)/tenths:])
	return sum
}

// meanOf returns the mean of times, of which there is at least one.
func meanOf(times []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, one := range times {
		sum += one
	}
	return sum / time.Duration(len(times))
}
