package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ambertiller.example/ambertiller/job"
)

// Sizes of jobs within their queue, by the work that they were estimated at.
const (
	sizeLargest = "largest tenth"
	sizeLarge   = "fifth below"
	sizeOther   = "the others"
)

// maxLateFactor is up to how many times its objective a job is late; beyond it, it counts
// for nothing any more.
const maxLateFactor = 3

// JobGroup is what became of the jobs of one queue and size.
type JobGroup struct {
	Queue string `json:"name"`
	Size  string `json:"size"`
	Jobs  int    `json:"jobs"`
	// InTime, Late and Beyond are completed jobs within their objective, up to three
	// times as long, and longer.
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	VeryLate  int `json:"beyond"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// LateWorkShare is the share of the queue's work in jobs that were not in time.
	LateWorkShare float64 `json:"lost"`
	// MeanSlowdown is the mean of the time taken over the time allowed, of ended jobs.
	MeanSlowdown float64 `json:"slowness"`
	// TimeSpent is where the time of the jobs went that were not in time.
	TimeSpent []LabeledDuration `json:"spent"`
}

// jobOutcome is what became of a job.
type jobOutcome int

const (
	jobOpen jobOutcome = iota
	jobInTime
	jobLate
	jobVeryLate
	jobFailed
	jobCancelled
)

func (of *jobHistory) outcome() jobOutcome {
	switch of.state {
	case job.State_STATE_FAILED.String():
		return jobFailed
	case job.State_STATE_CANCELLED.String():
		return jobCancelled
	case job.State_STATE_COMPLETED.String():
	default:
		return jobOpen
	}
	switch {
	case of.duration <= of.targetDuration:
		return jobInTime
	case of.duration <= maxLateFactor*of.targetDuration:
		return jobLate
	}
	return jobVeryLate
}

// jobGroups sums jobs up by queue and size. Jobs whose taking is not in the logs are left
// out: neither their queue nor their objective is known.
func (past *history) jobGroups() []JobGroup {
	byQueue := map[string][]*jobHistory{}
	for _, of := range past.jobs {
		if of.queue != "" {
			byQueue[of.queue] = append(byQueue[of.queue], of)
		}
	}
	var found []JobGroup
	for _, name := range slices.Sorted(maps.Keys(byQueue)) {
		found = append(found, groupBySize(name, byQueue[name])...)
	}
	return found
}

// groupBySize sums the jobs of one queue up.
func groupBySize(name string, jobs []*jobHistory) []JobGroup {
	slices.SortFunc(jobs, func(a, b *jobHistory) int {
		return cmp.Or(cmp.Compare(b.coreMs, a.coreMs), cmp.Compare(a.id, b.id))
	})
	if jobs[0].coreMs == jobs[len(jobs)-1].coreMs {
		// No size is known, as of lasting jobs.
		return []JobGroup{summarizeJobs(name, sizeOther, jobs, jobs)}
	}
	tenth := (len(jobs) + tenths - 1) / tenths
	third := min(tenth+2*tenth, len(jobs))
	var found []JobGroup
	for _, part := range []struct {
		size string
		jobs []*jobHistory
	}{{sizeLargest, jobs[:tenth]}, {sizeLarge, jobs[tenth:third]}, {sizeOther, jobs[third:]}} {
		if len(part.jobs) > 0 {
			found = append(found, summarizeJobs(name, part.size, part.jobs, jobs))
		}
	}
	return found
}

// tenths is the number of tenths in a whole.
const tenths = 10

// summarizeJobs sums up some of the jobs of a queue.
func summarizeJobs(name, size string, jobs, all []*jobHistory) JobGroup {
	sum := JobGroup{Queue: name, Size: size, Jobs: len(jobs)}
	spent := map[string]time.Duration{}
	work, lost, ended := 0.0, 0.0, 0
	for _, of := range all {
		work += of.weight()
	}
	for _, of := range jobs {
		result := of.outcome()
		sum.countOutcome(result)
		if result == jobInTime || result == jobCancelled || result == jobOpen {
			continue
		}
		lost += of.weight()
		for what, took := range of.timeOnCriticalPath() {
			spent[what] += took
		}
	}
	for _, of := range jobs {
		if of.state == job.State_STATE_COMPLETED.String() && of.targetDuration > 0 {
			sum.MeanSlowdown += float64(of.duration) / float64(of.targetDuration)
			ended++
		}
	}
	sum.MeanSlowdown /= float64(max(ended, 1))
	sum.LateWorkShare = lost / max(work, 1)
	sum.TimeSpent = sortedDurations(spent)
	return sum
}

// weight is what a job counts for: its work, and something for its being asked for.
func (of *jobHistory) weight() float64 { return float64(of.coreMs) + millisPerUnit }

// millisPerUnit is the number of thousandths in a whole.
const millisPerUnit = 1000

func (sum *JobGroup) countOutcome(result jobOutcome) {
	switch result {
	case jobInTime:
		sum.InTime++
	case jobLate:
		sum.Late++
	case jobVeryLate:
		sum.VeryLate++
	case jobFailed:
		sum.Failed++
	case jobCancelled:
		sum.Cancelled++
	case jobOpen:
		sum.Open++
	}
}
