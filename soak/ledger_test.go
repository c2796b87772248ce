package soak

import (
	"fmt"
	"sync"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/standin/wireworker"
)

// ledger is what the workers have seen of all tasks, in order, and which promises that breaks.
type ledger struct {
	mu        sync.Mutex
	startedAt time.Time
	// leaseEnds tells until when the lease of each life goes on.
	leaseEnds  map[string]time.Time
	tasks      map[string]*taskHistory
	jobs       map[string]*jobHistory
	violations []string
	runs       int
}

// taskHistory is what the workers have seen of one task.
type taskHistory struct {
	running              map[string]int32 // attempts by the worker's life
	completedRuns        []*completedRun
	acknowledgedDone     bool // a run is noted as done
	acknowledgedFailures int  // runs that are noted as failed
}

// completedRun is a run that ended as done.
type completedRun struct {
	incarnation string
	attempt     int32
	// followedByStart is set once a start of the task has come after it.
	followedByStart bool
}

// jobHistory is what a client has heard of a job.
type jobHistory struct {
	maxAttempts    int
	steps          []int32 // tasks of each step
	started        bool
	accepted       bool
	outcomeUnknown bool // a try had no answer that says yes or no
	cancelled      bool
}

func newLedger() *ledger {
	return &ledger{startedAt: time.Now(), leaseEnds: map[string]time.Time{}, tasks: map[string]*taskHistory{}, jobs: map[string]*jobHistory{}}
}

// addViolation notes that a promise is broken, with the lock held.
func (book *ledger) addViolation(rule, format string, about ...any) {
	at := time.Since(book.startedAt).Seconds()
	book.violations = append(book.violations, fmt.Sprintf("%.3f %s: %s", at, rule, fmt.Sprintf(format, about...)))
}

func (book *ledger) taskHistory(name string) *taskHistory {
	if book.tasks[name] == nil {
		book.tasks[name] = &taskHistory{running: map[string]int32{}}
	}
	return book.tasks[name]
}

// recordChange takes in what became of a run on one life of a worker.
func (book *ledger) recordChange(life string, change wireworker.Change) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if change.Kind == wireworker.Renewed {
		book.leaseEnds[life] = change.LeaseEnd
		return
	}
	task := book.taskHistory(change.Task)
	switch change.Kind {
	case wireworker.Started:
		book.recordStart(task, life, change)
	case wireworker.Ended:
		delete(task.running, life)
		if change.Reason == "done" {
			task.completedRuns = append(task.completedRuns, &completedRun{incarnation: life, attempt: change.Attempt})
		}
	case wireworker.Acknowledged:
		book.recordAcknowledgement(task, life, change)
	}
}

func (book *ledger) recordStart(task *taskHistory, life string, change wireworker.Change) {
	book.runs++
	for other, attempt := range task.running {
		if !time.Now().Before(book.leaseEnds[other]) {
			continue // Its lease has run out; the stand-in is late to end it.
		}
		book.addViolation("TWICE", "%s run %d starts on %s while run %d goes on on %s", change.Task, change.Attempt, life, attempt, other)
	}
	if task.acknowledgedDone {
		book.addViolation("TWICE", "%s run %d starts on %s after a run was noted as done", change.Task, change.Attempt, life)
	}
	for _, earlier := range task.completedRuns {
		earlier.followedByStart = true
	}
	task.running[life] = change.Attempt
	if holds := book.runCount(life) * taskMilliCPU; holds > workerMilliCPU {
		book.addViolation("LIMIT", "%s run %d starts on %s, which then holds %d thousandths of a core of %d", change.Task, change.Attempt, life, holds, workerMilliCPU)
	}
	ref, err := job.ParseTaskRef(change.Task)
	if err != nil {
		book.addViolation("UNASKED", "%s: %v", change.Task, err)
		return
	}
	book.checkJobStart(task, ref, change)
}

// runCount counts the runs on a life.
func (book *ledger) runCount(life string) int {
	count := 0
	for _, task := range book.tasks {
		if _, runs := task.running[life]; runs {
			count++
		}
	}
	return count
}

func (book *ledger) checkJobStart(task *taskHistory, ref job.TaskRef, change wireworker.Change) {
	of, known := book.jobs[ref.Job]
	if !known {
		book.addViolation("UNASKED", "%s was never handed in", change.Task)
		return
	}
	of.started = true
	if task.acknowledgedFailures >= of.maxAttempts {
		book.addViolation("BUDGET", "%s run %d starts after %d noted failures", change.Task, change.Attempt, task.acknowledgedFailures)
	}
	for step := range ref.Step {
		for index := range of.steps[step] {
			before := job.TaskRef{Job: ref.Job, Step: step, Index: index}
			if len(book.taskHistory(fmt.Sprintf("%s.0.%d.%d", before.Job, before.Step, before.Index)).completedRuns) == 0 {
				book.addViolation("ORDER", "%s starts before task %d of step %d is done", change.Task, index, step)
			}
		}
	}
}

func (book *ledger) recordAcknowledgement(task *taskHistory, life string, change wireworker.Change) {
	switch change.Reason {
	case "failed":
		task.acknowledgedFailures++
	case "done":
		task.acknowledgedDone = true
		for _, earlier := range task.completedRuns {
			if earlier.incarnation == life && earlier.attempt == change.Attempt && earlier.followedByStart {
				book.addViolation("TWICE", "%s run %d on %s is noted as done, and the task was started again after it", change.Task, change.Attempt, life)
			}
		}
	}
}

// recordCrash notes that all runs of a life are over without an end.
func (book *ledger) recordCrash(life string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for _, task := range book.tasks {
		delete(task.running, life)
	}
}

// addJob notes a job before it is handed in.
func (book *ledger) addJob(id string, handed *jobHistory) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.jobs[id] = handed
}

// updateJob changes what a client has heard of a job.
func (book *ledger) updateJob(id string, change func(handed *jobHistory)) {
	book.mu.Lock()
	defer book.mu.Unlock()
	change(book.jobs[id])
}

// acceptedJobs returns the jobs that must end.
func (book *ledger) acceptedJobs() []string {
	book.mu.Lock()
	defer book.mu.Unlock()
	var ids []string
	for id, handed := range book.jobs {
		if handed.accepted && !handed.cancelled {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkRefused checks that what was refused each time has not run.
func (book *ledger) checkRefused() {
	book.mu.Lock()
	defer book.mu.Unlock()
	for id, handed := range book.jobs {
		if handed.started && !handed.accepted && !handed.outcomeUnknown {
			book.addViolation("REFUSED", "%s was refused at each try, and ran", id)
		}
	}
}

// checkEnded checks what a job is shown as at the end against what was noted.
func (book *ledger) checkEnded(id, state string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	handed := book.jobs[id]
	if state != "completed" {
		return
	}
	for step, count := range handed.steps {
		for index := range count {
			name := fmt.Sprintf("%s.0.%d.%d", id, step, index)
			if len(book.taskHistory(name).completedRuns) == 0 {
				book.addViolation("MIXED", "%s is shown as completed, and %s is not done", id, name)
			}
		}
	}
}

// recordLost notes a job that is not known to have ended.
func (book *ledger) recordLost(id, state string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.addViolation("LOST", "%s is still shown as %q", id, state)
}

// results returns what was broken so far, and how many runs there were.
func (book *ledger) results() (broken []string, runs int) {
	book.mu.Lock()
	defer book.mu.Unlock()
	return append([]string(nil), book.violations...), book.runs
}
