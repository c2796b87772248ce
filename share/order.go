package share

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// startsPerOldest is the number of starts of a queue of which one goes to the overdue job that has waited longest.
	// If all did, a queue with too much work would be served in the order of arrival, and all its jobs would be late.
	startsPerOldest = 4
	// maxLongRunningWait is how long a long-running job may be passed over. Its caller has no use of it before
	// it runs, however long it then runs.
	maxLongRunningWait = 1500 * time.Millisecond
)

// Job holds the properties of a job that determine its position within its queue.
type Job struct {
	ID  string
	Key Key
	// Index is the caller's number of the job.
	Index int
	// LongRunning is set if the job runs until it is cancelled.
	LongRunning bool
	// Late is set if the job can't meet its objective any more.
	Late      bool
	Objective time.Time
	// Target is the time within which the job should end.
	Target time.Duration
	// Waited is how long the job has been waiting for a worker without any running task.
	Waited time.Duration
	// Work is the estimated work left, in milli-CPU times milliseconds.
	Work int64
	// UsedMilliCPU is what its running tasks asked for, WantedMilliCPU what its waiting tasks ask for.
	UsedMilliCPU, WantedMilliCPU int64
}

// IsOverdue reports whether the job has waited longer than other jobs of its queue may go first.
func (job *Job) IsOverdue() bool {
	limit := job.Target
	if job.LongRunning {
		limit = min(limit, maxLongRunningWait)
	}
	return job.Waited > limit
}

// Compare orders two jobs of a queue while there are too few workers: jobs that can meet their objective before
// late ones, then the one with the least work left. A long-running job has no end, and comes after those
// that have.
func (job *Job) Compare(other *Job) int {
	if job.Late != other.Late {
		return falseFirst(job.Late)
	}
	if job.LongRunning != other.LongRunning {
		return falseFirst(job.LongRunning)
	}
	if !job.LongRunning && job.Work != other.Work {
		return cmp.Compare(job.Work, other.Work)
	}
	if order := job.Objective.Compare(other.Objective); order != 0 {
		return order
	}
	return strings.Compare(job.ID, other.ID)
}

// falseFirst compares a flag with its opposite: false sorts before true.
func falseFirst(flag bool) int {
	if flag {
		return 1
	}
	return -1
}

// PlacementQueue is a queue with its jobs that wait to be placed.
type PlacementQueue struct {
	Queue Queue
	// UsedMilliCPU is what the tasks of the queue use, less what compensates for its lag.
	ShareMilliCPU, UsedMilliCPU int64
	// StartsSinceOldest counts the starts of the queue since the last one of a job that had a turn for being overdue.
	StartsSinceOldest int
	Jobs              []*Job
	// overdueTurns holds the IDs of the jobs that have a turn for being overdue.
	overdueTurns map[string]bool
	next         int // the position of the next job in Jobs
}

// Compare orders two queues: the one that uses less relative to its share is placed first.
func (queue *PlacementQueue) Compare(other *PlacementQueue) int {
	used, usedByOther := queue.UsedMilliCPU*max(other.ShareMilliCPU, 1), other.UsedMilliCPU*max(queue.ShareMilliCPU, 1)
	if order := cmp.Compare(used, usedByOther); order != 0 {
		return order
	}
	return compareQueues(queue.Queue, other.Queue)
}

// overdue returns the overdue jobs, the one that has waited longest first.
func (queue *PlacementQueue) overdue() []*Job {
	var overdue []*Job
	for _, job := range queue.Jobs {
		if job.IsOverdue() {
			overdue = append(overdue, job)
		}
	}
	slices.SortStableFunc(overdue, func(a, b *Job) int { return cmp.Compare(b.Waited, a.Waited) })
	return overdue
}

// turn returns the position in the queue of the overdue job with a rank, 0 for the longest wait. If the jobs before it
// can't be placed, it nevertheless gets its turn, after as many more starts.
func (queue *PlacementQueue) turn(rank int) int {
	return max(startsPerOldest*(rank+1)-1-queue.StartsSinceOldest, rank)
}

// sort orders the jobs of the queue by their turns, and sets which of them have a turn for being overdue.
func (queue *PlacementQueue) sort() {
	slices.SortFunc(queue.Jobs, (*Job).Compare)
	overdue := queue.overdue()
	if len(overdue) == 0 {
		return
	}
	queue.overdueTurns = map[string]bool{overdue[0].ID: true}
	ordered := make([]*Job, 0, len(queue.Jobs))
	taken := make(map[*Job]bool, len(queue.Jobs))
	rank := 0
	for _, job := range queue.Jobs {
		for ; rank < len(overdue) && queue.turn(rank) <= len(ordered); rank++ {
			if due := overdue[rank]; !taken[due] {
				taken[due], queue.overdueTurns[due.ID] = true, true
				ordered = append(ordered, due)
			}
		}
		if !taken[job] {
			taken[job] = true
			ordered = append(ordered, job)
		}
	}
	queue.Jobs = ordered
}

// Sequence returns the jobs of all queues in the order in which they are to be placed. Each turn is that of the
// queue that would use the least relative to its share if the jobs before were placed. The queues are modified.
//
// Performance: comparisons don't allocate.
func Sequence(queues []*PlacementQueue) []*Job {
	count := 0
	for _, queue := range queues {
		queue.sort()
		count += len(queue.Jobs)
	}
	sequence := make([]*Job, 0, count)
	for len(sequence) < count {
		queue := nextQueue(queues)
		job := queue.Jobs[queue.next]
		queue.next++
		queue.countTurn(job)
		sequence = append(sequence, job)
	}
	return sequence
}

// countTurn adds what a job wants to the use of its queue. A queue below its share only reaches its share by that:
// otherwise a large job that no worker can take would make the other jobs of the queue wait.
func (queue *PlacementQueue) countTurn(job *Job) {
	used := queue.UsedMilliCPU + job.WantedMilliCPU
	if queue.UsedMilliCPU < queue.ShareMilliCPU {
		used = min(used, queue.ShareMilliCPU)
	}
	queue.UsedMilliCPU = used
}

// nextQueue returns the queue with the next turn among those that have jobs left.
func nextQueue(queues []*PlacementQueue) *PlacementQueue {
	var best *PlacementQueue
	for _, queue := range queues {
		if queue.next < len(queue.Jobs) && (best == nil || queue.Compare(best) < 0) {
			best = queue
		}
	}
	return best
}
