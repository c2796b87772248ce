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

// lateMost is up to how many times its objective a job is late; beyond it, it counts
// for nothing any more.
const lateMost = 3

// Queue is what became of the jobs of one queue and size.
type Queue struct {
	Name string `json:"name"`
	Size string `json:"size"`
	Jobs int    `json:"jobs"`
	// InTime, Late and Beyond are completed jobs within their objective, up to three
	// times as long, and longer.
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Beyond    int `json:"beyond"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// Lost is the share of the queue's work in jobs that were not in time.
	Lost float64 `json:"lost"`
	// Slowness is the mean of the time taken over the time allowed, of ended jobs.
	Slowness float64 `json:"slowness"`
	// Spent is where the time of the jobs went that were not in time.
	Spent []Span `json:"spent"`
}

// outcome is what became of a job.
type outcome int

const (
	stillOpen outcome = iota
	inTime
	late
	beyond
	failed
	cancelled
)

func (of *jobHistory) outcome() outcome {
	switch of.state {
	case job.State_STATE_FAILED.String():
		return failed
	case job.State_STATE_CANCELLED.String():
		return cancelled
	case job.State_STATE_COMPLETED.String():
	default:
		return stillOpen
	}
	switch {
	case of.took <= of.allowed:
		return inTime
	case of.took <= lateMost*of.allowed:
		return late
	}
	return beyond
}

// queues sums jobs up by queue and size. Jobs whose taking is not in the logs are left
// out: neither their queue nor their objective is known.
func (past *history) queues() []Queue {
	byQueue := map[string][]*jobHistory{}
	for _, of := range past.jobs {
		if of.queue != "" {
			byQueue[of.queue] = append(byQueue[of.queue], of)
		}
	}
	var found []Queue
	for _, name := range slices.Sorted(maps.Keys(byQueue)) {
		found = append(found, queueBySize(name, byQueue[name])...)
	}
	return found
}

// queueBySize sums the jobs of one queue up.
func queueBySize(name string, jobs []*jobHistory) []Queue {
	slices.SortFunc(jobs, func(a, b *jobHistory) int {
		return cmp.Or(cmp.Compare(b.coreMillis, a.coreMillis), cmp.Compare(a.id, b.id))
	})
	if jobs[0].coreMillis == jobs[len(jobs)-1].coreMillis {
		// No size is known, as of lasting jobs.
		return []Queue{summarizeJobs(name, sizeOther, jobs, jobs)}
	}
	tenth := (len(jobs) + tenths - 1) / tenths
	third := min(tenth+2*tenth, len(jobs))
	var found []Queue
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
func summarizeJobs(name, size string, jobs, all []*jobHistory) Queue {
	sum := Queue{Name: name, Size: size, Jobs: len(jobs)}
	spent := map[string]time.Duration{}
	work, lost, ended := 0.0, 0.0, 0
	for _, of := range all {
		work += of.weight()
	}
	for _, of := range jobs {
		result := of.outcome()
		sum.count(result)
		if result == inTime || result == cancelled || result == stillOpen {
			continue
		}
		lost += of.weight()
		for what, took := range of.path() {
			spent[what] += took
		}
	}
	for _, of := range jobs {
		if of.state == job.State_STATE_COMPLETED.String() && of.allowed > 0 {
			sum.Slowness += float64(of.took) / float64(of.allowed)
			ended++
		}
	}
	sum.Slowness /= float64(max(ended, 1))
	sum.Lost = lost / max(work, 1)
	sum.Spent = spans(spent)
	return sum
}

// weight is what a job counts for: its work, and something for its being asked for.
func (of *jobHistory) weight() float64 { return float64(of.coreMillis) + milli }

// milli is the number of thousandths in a whole.
const milli = 1000

func (sum *Queue) count(result outcome) {
	switch result {
	case inTime:
		sum.InTime++
	case late:
		sum.Late++
	case beyond:
		sum.Beyond++
	case failed:
		sum.Failed++
	case cancelled:
		sum.Cancelled++
	case stillOpen:
		sum.Open++
	}
}
