package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambertiller.example/ambertiller/job"
)

// Sizes of jobs relative to the other jobs of their queue, by their estimated work.
const (
	sizeLargest = "largest tenth"
	sizeLarge   = "fifth below"
	sizeOther   = "the others"
)

// maxLateFactor is the multiple of its target duration up to which a job counts as late. A job that takes
// longer is very late, and its result counts as worthless.
const maxLateFactor = 3

// JobGroup summarizes the jobs of one queue and size.
type JobGroup struct {
	Queue string `json:"name"`
	Size  string `json:"size"`
	Jobs  int    `json:"jobs"`
	// InTime, Late and VeryLate are the numbers of completed jobs that took no longer than their target
	// duration, up to three times as long, and longer. Open is the number of jobs that have not ended.
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	VeryLate  int `json:"beyond"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// LateWorkShare is the fraction of the queue's work that is in late, very late and failed jobs of this
	// group.
	LateWorkShare float64 `json:"lost"`
	// MeanSlowdown is the mean ratio of the duration to the target duration over the completed jobs.
	MeanSlowdown float64 `json:"slowness"`
	// TimeSpent is what the time of the late, very late and failed jobs was spent on along their critical
	// paths.
	TimeSpent []LabeledDuration `json:"spent"`
}

// jobOutcome is how a job ended, if it has.
type jobOutcome int

const (
	jobOpen jobOutcome = iota
	jobInTime
	jobLate
	jobVeryLate
	jobFailed
	jobCancelled
)

func (j *jobHistory) outcome() jobOutcome {
	switch j.state {
	case job.State_STATE_FAILED.String():
		return jobFailed
	case job.State_STATE_CANCELLED.String():
		return jobCancelled
	case job.State_STATE_COMPLETED.String():
	default:
		return jobOpen
	}
	switch {
	case j.duration <= j.targetDuration:
		return jobInTime
	case j.duration <= maxLateFactor*j.targetDuration:
		return jobLate
	}
	return jobVeryLate
}

// jobGroups summarizes the jobs by queue and size. It omits jobs whose queue and target duration are unknown,
// because the line of the owner that took them up is not in the logs.
func (h *history) jobGroups() []JobGroup {
	byQueue := map[string][]*jobHistory{}
	for _, j := range h.jobs {
		if j.queue != "" {
			byQueue[j.queue] = append(byQueue[j.queue], j)
		}
	}
	var groups []JobGroup
	for _, name := range slices.Sorted(maps.Keys(byQueue)) {
		groups = append(groups, groupBySize(name, byQueue[name])...)
	}
	return groups
}

// groupBySize summarizes the jobs of one queue by size.
func groupBySize(name string, jobs []*jobHistory) []JobGroup {
	slices.SortFunc(jobs, func(a, b *jobHistory) int {
		return cmp.Or(cmp.Compare(b.coreMs, a.coreMs), cmp.Compare(a.id, b.id))
	})
	if jobs[0].coreMs == jobs[len(jobs)-1].coreMs {
		// The jobs don't differ in size, or their sizes are unknown, as those of long-running jobs are.
		return []JobGroup{summarizeJobs(name, sizeOther, jobs, jobs)}
	}
	tenth := (len(jobs) + tenths - 1) / tenths
	largeEnd := min(tenth+2*tenth, len(jobs))
	var groups []JobGroup
	for _, part := range []struct {
		size string
		jobs []*jobHistory
	}{{sizeLargest, jobs[:tenth]}, {sizeLarge, jobs[tenth:largeEnd]}, {sizeOther, jobs[largeEnd:]}} {
		if len(part.jobs) > 0 {
			groups = append(groups, summarizeJobs(name, part.size, part.jobs, jobs))
		}
	}
	return groups
}

// tenths divides a number of jobs or tasks into tenths.
const tenths = 10

// summarizeJobs summarizes the jobs of one size. all holds all jobs of the queue.
func summarizeJobs(name, size string, jobs, all []*jobHistory) JobGroup {
	group := JobGroup{Queue: name, Size: size, Jobs: len(jobs)}
	times := map[string]time.Duration{}
	totalWork, lateWork, completed := 0.0, 0.0, 0
	for _, j := range all {
		totalWork += j.weight()
	}
	for _, j := range jobs {
		outcome := j.outcome()
		group.countOutcome(outcome)
		if outcome == jobInTime || outcome == jobCancelled || outcome == jobOpen {
			continue
		}
		lateWork += j.weight()
		for label, duration := range j.timeOnCriticalPath() {
			times[label] += duration
		}
	}
	for _, j := range jobs {
		if j.state == job.State_STATE_COMPLETED.String() && j.targetDuration > 0 {
			group.MeanSlowdown += float64(j.duration) / float64(j.targetDuration)
			completed++
		}
	}
	group.MeanSlowdown /= float64(max(completed, 1))
	group.LateWorkShare = lateWork / max(totalWork, 1)
	group.TimeSpent = sortedDurations(times)
	return group
}

// weight returns the weight of a job in core-milliseconds: its work, plus one core-second so that a job with
// little or no known work counts as well.
func (j *jobHistory) weight() float64 { return float64(j.coreMs) + millisPerUnit }

// millisPerUnit converts thousandths, such as milliCPU or milliseconds, to whole units.
const millisPerUnit = 1000

// countOutcome counts a job with this outcome.
func (group *JobGroup) countOutcome(outcome jobOutcome) {
	switch outcome {
	case jobInTime:
		group.InTime++
	case jobLate:
		group.Late++
	case jobVeryLate:
		group.VeryLate++
	case jobFailed:
		group.Failed++
	case jobCancelled:
		group.Cancelled++
	case jobOpen:
		group.Open++
	}
}
