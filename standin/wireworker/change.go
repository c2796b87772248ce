package wireworker

// ChangeKind says what became of a run.
type ChangeKind int

// The kinds of a change.
const (
	Started ChangeKind = iota
	Ended
	// Noted is the word that an end may be forgotten, if the lease has not run out since the
	// run ended. It stands for good: a task that is noted as done is not to start again. An end
	// whose lease ran out first does not count.
	Noted
)

// Change is what became of a run.
type Change struct {
	Kind    ChangeKind
	Task    string
	Attempt int32
	How     string // of an end
}

// Watch has note called with each change, in their order. It must not call the worker.
func (worker *Worker) Watch(note func(change Change)) {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.watch = note
}

// RunningCount returns how many runs there are, after those have ended whose lease has run out.
func (worker *Worker) RunningCount() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.lapse()
	return len(worker.running)
}
