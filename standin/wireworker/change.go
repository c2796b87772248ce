package wireworker

import "time"

// ChangeKind says what became of a run.
type ChangeKind int

// The kinds of a change.
const (
	Started ChangeKind = iota
	Ended
	// Renewed is that the lease of everything that runs goes on until a later time.
	Renewed
	// Acknowledged is the word that an end may be forgotten, if the lease has not run out since the
	// run ended. It stands for good: a task that is noted as done is not to start again. An end
	// whose lease ran out first does not count.
	Acknowledged
)

// Change is what became of a run.
type Change struct {
	Kind    ChangeKind
	Task    string
	Attempt int32
	Reason  string // of an end
	// LeaseEnd is when the lease runs out; of a renewal.
	LeaseEnd time.Time
}

// OnChange has note called with each change, in their order. It must not call the worker.
func (worker *Worker) OnChange(note func(change Change)) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.onChange = note
}

// renewLease has the lease go on until a deadline on the worker's clock, if it is a later one.
func (worker *Worker) renewLease(deadline int64) {
	if deadline <= worker.leaseEndMs {
		return
	}
	worker.leaseEndMs = deadline
	worker.onChange(Change{Kind: Renewed, LeaseEnd: worker.startedAt.Add(time.Duration(deadline-initialClockMs) * time.Millisecond)})
}

// RunningCount returns how many runs there are, after those have ended whose lease has run out.
func (worker *Worker) RunningCount() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
	return len(worker.running)
}
