package wireworker

import "time"

// ChangeKind tells what changed: a run, the lease, or the acknowledgement of an end.
type ChangeKind int

// Kinds of changes.
const (
	Started ChangeKind = iota
	Ended
	// Renewed reports that the lease, which covers all runs, was extended.
	Renewed
	// Acknowledged reports that a poll acknowledged an end. A task whose end with the reason "done" was
	// acknowledged must never start again. The change is not reported if the lease expired between the end and
	// the poll.
	Acknowledged
)

// Change is a change of a run or of the lease.
type Change struct {
	Kind    ChangeKind
	Task    string
	Attempt int32
	Reason  string // why the run ended; set for Ended and Acknowledged
	// LeaseEnd is when the lease expires; set for Renewed.
	LeaseEnd time.Time
}

// OnChange makes the worker call onChange with every later change, in order. The function must not call the
// worker, whose lock is held.
func (worker *Worker) OnChange(onChange func(change Change)) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.onChange = onChange
}

// renewLease extends the lease to a time on the worker's clock, in milliseconds. A time that is not later than
// the current end is ignored.
func (worker *Worker) renewLease(leaseEndMs int64) {
	if leaseEndMs <= worker.leaseEndMs {
		return
	}
	worker.leaseEndMs = leaseEndMs
	worker.onChange(Change{Kind: Renewed, LeaseEnd: worker.startedAt.Add(time.Duration(leaseEndMs-initialClockMs) * time.Millisecond)})
}

// RunningCount returns the number of runs. If the lease has expired, the runs are ended first.
func (worker *Worker) RunningCount() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
	return len(worker.running)
}
