package share

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// startsPerOldest is the number of starts of a queue of which one is due to the job that has waited longest,
	// if that is over its limit. If all starts were, a queue with too much work would be served in the order
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
	Queue                       Queue
	ShareMilliCPU, UsedMilliCPU int64
	// StartsSinceOldest counts the starts of the queue since the last one of the job returned by Oldest.
	StartsSinceOldest int
	Jobs              []*Job
	next              int
}

// Compare orders two queues: the one that uses less relative to its share is placed first.
func (line *Line) Compare(other *Line) int {
	used, usedByOther := line.UsedMilliCPU*max(other.ShareMilliCPU, 1), other.UsedMilliCPU*max(line.ShareMilliCPU, 1)
	if order := cmp.Compare(used, usedByOther); order != 0 {
		return order
	}
	return compareQueues(line.Queue, other.Queue)
}

// Oldest returns the job that has waited longest if it is overdue, or nil.
func (line *Line) Oldest() *Job {
	var oldest *Job
	for _, job := range line.Jobs {
		if job.IsOverdue() && (oldest == nil || job.Waited > oldest.Waited) {
			oldest = job
		}
	}
	return oldest
}

// sort orders the jobs of the queue by their turns.
func (line *Line) sort() {
	slices.SortFunc(line.Jobs, (*Job).Compare)
	oldest := line.Oldest()
	if oldest == nil {
		return
	}
	position := slices.Index(line.Jobs, oldest)
	turn := max(startsPerOldest-1-line.StartsSinceOldest, 0)
	if turn < position {
		copy(line.Jobs[turn+1:position+1], line.Jobs[turn:position])
		line.Jobs[turn] = oldest
	}
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
		line.UsedMilliCPU += job.WantedMilliCPU
		sequence = append(sequence, job)
	}
	return sequence
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
