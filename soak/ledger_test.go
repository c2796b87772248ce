package soak

import (
	"fmt"
	"sync"
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/standin/wireworker"
)

// ledger records the events that workers and clients observe, in order, and which guarantees they violate.
type ledger struct {
	mu        sync.Mutex
	startedAt time.Time
	// leaseEnds holds the end of the lease of each worker incarnation.
	leaseEnds  map[string]time.Time
	tasks      map[string]*taskHistory
	jobs       map[string]*jobHistory
	violations []string
	runs       int
}

// taskHistory is what the workers have observed of a task.
type taskHistory struct {
	running              map[string]int32 // attempts by worker incarnation
	completedRuns        []*completedRun
	acknowledgedDone     bool // a run was acknowledged as done
	acknowledgedFailures int  // runs that were acknowledged as failed
}

// completedRun is a run that ended as done.
type completedRun struct {
	incarnation string
	attempt     int32
	// followedByStart is set once the task has been started again after this run.
	followedByStart bool
}

// jobHistory is what a client knows of a job.
type jobHistory struct {
	maxAttempts    int
	steps          []int32 // number of tasks of each step
	started        bool
	accepted       bool
	outcomeUnknown bool // a submission was neither accepted nor refused
	cancelled      bool
}

func newLedger() *ledger {
	return &ledger{startedAt: time.Now(), leaseEnds: map[string]time.Time{}, tasks: map[string]*taskHistory{}, jobs: map[string]*jobHistory{}}
}

// addViolation records the violation of a guarantee. The caller holds the lock.
func (l *ledger) addViolation(rule, format string, args ...any) {
	at := time.Since(l.startedAt).Seconds()
	l.violations = append(l.violations, fmt.Sprintf("%.3f %s: %s", at, rule, fmt.Sprintf(format, args...)))
}

// recordConfiguration records that a gateway used an older version of the configuration than it must.
func (l *ledger) recordConfiguration(gateway string, version int, violation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation("CONFIG", "%s, version %d: %s", gateway, version, violation)
}

// taskHistory returns the history of a task, and creates it if there is none. The caller holds the lock.
func (l *ledger) taskHistory(name string) *taskHistory {
	if l.tasks[name] == nil {
		l.tasks[name] = &taskHistory{running: map[string]int32{}}
	}
	return l.tasks[name]
}

// recordChange records a change of a run or of the lease on an incarnation of a worker.
func (l *ledger) recordChange(incarnation string, change wireworker.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if change.Kind == wireworker.Renewed {
		l.leaseEnds[incarnation] = change.LeaseEnd
		return
	}
	task := l.taskHistory(change.Task)
	switch change.Kind {
	case wireworker.Started:
		l.recordStart(task, incarnation, change)
	case wireworker.Ended:
		delete(task.running, incarnation)
		if change.Reason == "done" {
			task.completedRuns = append(task.completedRuns, &completedRun{incarnation: incarnation, attempt: change.Attempt})
		}
	case wireworker.Acknowledged:
		l.recordAcknowledgement(task, incarnation, change)
	}
}

// recordStart records the start of a run, and checks that the task may start and that the worker has room for
// it.
func (l *ledger) recordStart(task *taskHistory, incarnation string, change wireworker.Change) {
	l.runs++
	for other, attempt := range task.running {
		if !time.Now().Before(l.leaseEnds[other]) {
			continue // Its lease has expired, which the stand-in has not noticed yet.
		}
		l.addViolation("TWICE", "%s: attempt %d started on %s while attempt %d was running on %s", change.Task, change.Attempt, incarnation, attempt, other)
	}
	if task.acknowledgedDone {
		l.addViolation("TWICE", "%s: attempt %d started on %s after an attempt was acknowledged as done", change.Task, change.Attempt, incarnation)
	}
	for _, run := range task.completedRuns {
		run.followedByStart = true
	}
	task.running[incarnation] = change.Attempt
	if milliCPU := l.runCount(incarnation) * taskMilliCPU; milliCPU > workerMilliCPU {
		l.addViolation("LIMIT", "%s: attempt %d started on %s, whose runs then request %d of %d millicores", change.Task, change.Attempt, incarnation, milliCPU, workerMilliCPU)
	}
	ref, err := job.ParseTaskRef(change.Task)
	if err != nil {
		l.addViolation("UNASKED", "%s: %v", change.Task, err)
		return
	}
	l.checkJobStart(task, ref, change)
}

// runCount returns the number of runs on an incarnation.
func (l *ledger) runCount(incarnation string) int {
	count := 0
	for _, task := range l.tasks {
		if _, isRunning := task.running[incarnation]; isRunning {
			count++
		}
	}
	return count
}

// checkJobStart checks the start of a run against the job of its task: the job was submitted, the task has
// failures left in its budget, and the tasks of all previous steps are done.
func (l *ledger) checkJobStart(task *taskHistory, ref job.TaskRef, change wireworker.Change) {
	history, known := l.jobs[ref.Job]
	if !known {
		l.addViolation("UNASKED", "%s: the job was never submitted", change.Task)
		return
	}
	history.started = true
	if task.acknowledgedFailures >= history.maxAttempts {
		l.addViolation("BUDGET", "%s: attempt %d started after %d acknowledged failures", change.Task, change.Attempt, task.acknowledgedFailures)
	}
	for step := range ref.Step {
		for index := range history.steps[step] {
			predecessor := job.TaskRef{Job: ref.Job, Step: step, Index: index}
			if len(l.taskHistory(fmt.Sprintf("%s.0.%d.%d", predecessor.Job, predecessor.Step, predecessor.Index)).completedRuns) == 0 {
				l.addViolation("ORDER", "%s started before task %d of step %d was done", change.Task, index, step)
			}
		}
	}
}

// recordAcknowledgement records that an agent acknowledged the end of a run, after which the end counts for
// good. A task that is acknowledged as done must not start again, nor have started again since that run
// ended.
func (l *ledger) recordAcknowledgement(task *taskHistory, incarnation string, change wireworker.Change) {
	switch change.Reason {
	case "failed":
		task.acknowledgedFailures++
	case "done":
		task.acknowledgedDone = true
		for _, run := range task.completedRuns {
			if run.incarnation == incarnation && run.attempt == change.Attempt && run.followedByStart {
				l.addViolation("TWICE", "%s: attempt %d on %s was acknowledged as done, but the task had been started again after it", change.Task, change.Attempt, incarnation)
			}
		}
	}
}

// recordCrash records that all runs of an incarnation are over, without reported ends.
func (l *ledger) recordCrash(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, task := range l.tasks {
		delete(task.running, incarnation)
	}
}

// addJob adds a job that is about to be submitted.
func (l *ledger) addJob(id string, history *jobHistory) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[id] = history
}

// updateJob updates what a client knows of a job.
func (l *ledger) updateJob(id string, update func(history *jobHistory)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(l.jobs[id])
}

// acceptedJobs returns the IDs of the jobs that must end: those that were accepted and not cancelled.
func (l *ledger) acceptedJobs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, history := range l.jobs {
		if history.accepted && !history.cancelled {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkRefused checks that no job ran of which every submission was refused.
func (l *ledger) checkRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, history := range l.jobs {
		if history.started && !history.accepted && !history.outcomeUnknown {
			l.addViolation("REFUSED", "%s was refused at each submission, but ran", id)
		}
	}
}

// checkEnded checks that all tasks of a job that is reported as completed are done.
func (l *ledger) checkEnded(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	history := l.jobs[id]
	if state != "completed" {
		return
	}
	for step, count := range history.steps {
		for index := range count {
			name := fmt.Sprintf("%s.0.%d.%d", id, step, index)
			if len(l.taskHistory(name).completedRuns) == 0 {
				l.addViolation("MIXED", "%s is reported as completed, but %s is not done", id, name)
			}
		}
	}
}

// recordLost records an accepted job that has not ended in time.
func (l *ledger) recordLost(id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation("LOST", "%s is still reported as %q", id, state)
}

// results returns the violations and the number of runs so far.
func (l *ledger) results() (violations []string, runs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...), l.runs
}
