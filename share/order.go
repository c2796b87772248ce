package share

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// startsPerOldest is the number of starts of a queue of which one is due to the job that has waited longest
	// of those that are over their limits. If all starts were, a queue with too much work would be served in the order
	// of arrival, and all its jobs would be late.
	startsPerOldest = 4
	// maxLongRunningWait is how long a long-running job may be passed over. Its caller has no use of it before
	// it runs, however long it is going to run.
	maxLongRunningWait = 1500 * time.Millisecond
)

// Job is what decides about the turn of a job within its queue.
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

// Compare orders two jobs of a queue while there is too little room: jobs that can meet their objective before
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

// falseFirst compares two flags that differ, of which the first is given.
func falseFirst(flag bool) int {
	if flag {
		return 1
	}
	return -1
}

// Line is a queue whose jobs are to be placed.
type Line struct {
	Queue Queue
	// UsedMilliCPU is less than what the tasks of the queue use if it is owed some, and more if it owes some.
	ShareMilliCPU, UsedMilliCPU int64
	// StartsSinceOldest counts the starts of the queue since the last one of a job that had a turn for being overdue.
	StartsSinceOldest int
	Jobs              []*Job
	// overdueTurns holds the IDs of the jobs that have such a turn.
	overdueTurns map[string]bool
	next         int
}

// Compare orders two queues: the one that uses less relative to its share is placed first.
func (line *Line) Compare(other *Line) int {
	used, usedByOther := line.UsedMilliCPU*max(other.ShareMilliCPU, 1), other.UsedMilliCPU*max(line.ShareMilliCPU, 1)
	if order := cmp.Compare(used, usedByOther); order != 0 {
		return order
	}
	return compareQueues(line.Queue, other.Queue)
}

// overdue returns the overdue jobs, the one that has waited longest first.
func (line *Line) overdue() []*Job {
	var overdue []*Job
	for _, job := range line.Jobs {
		if job.IsOverdue() {
			overdue = append(overdue, job)
		}
	}
	slices.SortStableFunc(overdue, func(a, b *Job) int { return cmp.Compare(b.Waited, a.Waited) })
	return overdue
}

// turn returns the position that is due to the overdue job with a number, counted from the longest wait. If the
// jobs before it can't be placed, its turn comes nonetheless, after as many more starts.
func (line *Line) turn(number int) int {
	return max(startsPerOldest*(number+1)-1-line.StartsSinceOldest, number)
}

// sort orders the jobs of the queue by their turns, and sets which of them have a turn for being overdue.
func (line *Line) sort() {
	slices.SortFunc(line.Jobs, (*Job).Compare)
	overdue := line.overdue()
	if len(overdue) == 0 {
		return
	}
	line.overdueTurns = map[string]bool{overdue[0].ID: true}
	ordered := make([]*Job, 0, len(line.Jobs))
	taken := make(map[*Job]bool, len(line.Jobs))
	number := 0
	for _, job := range line.Jobs {
		for ; number < len(overdue) && line.turn(number) <= len(ordered); number++ {
			if due := overdue[number]; !taken[due] {
				taken[due], line.overdueTurns[due.ID] = true, true
				ordered = append(ordered, due)
			}
		}
		if !taken[job] {
			taken[job] = true
			ordered = append(ordered, job)
		}
	}
	line.Jobs = ordered
}

// Sequence returns the jobs of all queues in the order in which they are to be placed. Each turn is that of the
// queue that would use the least relative to its share if the jobs before were placed. The lines are changed.
//
// Performance: comparisons don't allocate.
func Sequence(lines []*Line) []*Job {
	count := 0
	for _, line := range lines {
		line.sort()
		count += len(line.Jobs)
	}
	sequence := make([]*Job, 0, count)
	for len(sequence) < count {
		line := nextLine(lines)
		job := line.Jobs[line.next]
		line.next++
		line.countTurn(job)
		sequence = append(sequence, job)
	}
	return sequence
}

// countTurn adds what a job wants to the use of its queue, but not beyond its share at once: a job that no worker can
// take would cost the queue the turns of its other jobs.
func (line *Line) countTurn(job *Job) {
	used := line.UsedMilliCPU + job.WantedMilliCPU
	if line.UsedMilliCPU < line.ShareMilliCPU {
		used = min(used, line.ShareMilliCPU)
	}
	line.UsedMilliCPU = used
}

// nextLine returns the queue with the next turn among those that have jobs left.
func nextLine(lines []*Line) *Line {
	var best *Line
	for _, line := range lines {
		if line.next < len(line.Jobs) && (best == nil || line.Compare(best) < 0) {
			best = line
		}
	}
	return best
}
