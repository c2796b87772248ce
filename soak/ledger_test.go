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
	mu    sync.Mutex
	began time.Time
	// leases tells until when the lease of each life goes on.
	leases map[string]time.Time
	tasks  map[string]*taskLedger
	jobs   map[string]*jobLedger
	broken []string
	runs   int
}

// taskLedger is what the workers have seen of one task.
type taskLedger struct {
	running map[string]int32 // attempts by the worker's life
	done    []*doneRun
	noted   bool // a run is noted as done
	failed  int  // runs that are noted as failed
}

// doneRun is a run that ended as done.
type doneRun struct {
	life    string
	attempt int32
	// followed is set once a start of the task has come after it.
	followed bool
}

// jobLedger is what a client has heard of a job.
type jobLedger struct {
	attempts  int
	steps     []int32 // tasks of each step
	started   bool
	accepted  bool
	unsure    bool // a try had no answer that says yes or no
	cancelled bool
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), leases: map[string]time.Time{}, tasks: map[string]*taskLedger{}, jobs: map[string]*jobLedger{}}
}

// breach notes that a promise is broken, with the lock held.
func (book *ledger) breach(rule, format string, about ...any) {
	at := time.Since(book.began).Seconds()
	book.broken = append(book.broken, fmt.Sprintf("%.3f %s: %s", at, rule, fmt.Sprintf(format, about...)))
}

func (book *ledger) task(name string) *taskLedger {
	if book.tasks[name] == nil {
		book.tasks[name] = &taskLedger{running: map[string]int32{}}
	}
	return book.tasks[name]
}

// note takes in what became of a run on one life of a worker.
func (book *ledger) note(life string, change wireworker.Change) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if change.Kind == wireworker.Renewed {
		book.leases[life] = change.LeaseEnd
		return
	}
	task := book.task(change.Task)
	switch change.Kind {
	case wireworker.Started:
		book.noteStart(task, life, change)
	case wireworker.Ended:
		delete(task.running, life)
		if change.Reason == "done" {
			task.done = append(task.done, &doneRun{life: life, attempt: change.Attempt})
		}
	case wireworker.Acknowledged:
		book.noteNoted(task, life, change)
	}
}

func (book *ledger) noteStart(task *taskLedger, life string, change wireworker.Change) {
	book.runs++
	for other, attempt := range task.running {
		if !time.Now().Before(book.leases[other]) {
			continue // Its lease has run out; the stand-in is late to end it.
		}
		book.breach("TWICE", "%s run %d starts on %s while run %d goes on on %s", change.Task, change.Attempt, life, attempt, other)
	}
	if task.noted {
		book.breach("TWICE", "%s run %d starts on %s after a run was noted as done", change.Task, change.Attempt, life)
	}
	for _, earlier := range task.done {
		earlier.followed = true
	}
	task.running[life] = change.Attempt
	if holds := book.runningOn(life) * taskMilliCPU; holds > workerMilliCPU {
		book.breach("LIMIT", "%s run %d starts on %s, which then holds %d thousandths of a core of %d", change.Task, change.Attempt, life, holds, workerMilliCPU)
	}
	ref, err := job.ParseTaskRef(change.Task)
	if err != nil {
		book.breach("UNASKED", "%s: %v", change.Task, err)
		return
	}
	book.noteJobStart(task, ref, change)
}

// runningOn counts the runs on a life.
func (book *ledger) runningOn(life string) int {
	count := 0
	for _, task := range book.tasks {
		if _, runs := task.running[life]; runs {
			count++
		}
	}
	return count
}

func (book *ledger) noteJobStart(task *taskLedger, ref job.TaskRef, change wireworker.Change) {
	of, known := book.jobs[ref.Job]
	if !known {
		book.breach("UNASKED", "%s was never handed in", change.Task)
		return
	}
	of.started = true
	if task.failed >= of.attempts {
		book.breach("BUDGET", "%s run %d starts after %d noted failures", change.Task, change.Attempt, task.failed)
	}
	for step := range ref.Step {
		for index := range of.steps[step] {
			before := job.TaskRef{Job: ref.Job, Step: step, Index: index}
			if len(book.task(fmt.Sprintf("%s.0.%d.%d", before.Job, before.Step, before.Index)).done) == 0 {
				book.breach("ORDER", "%s starts before task %d of step %d is done", change.Task, index, step)
			}
		}
	}
}

func (book *ledger) noteNoted(task *taskLedger, life string, change wireworker.Change) {
	switch change.Reason {
	case "failed":
		task.failed++
	case "done":
		task.noted = true
		for _, earlier := range task.done {
			if earlier.life == life && earlier.attempt == change.Attempt && earlier.followed {
				book.breach("TWICE", "%s run %d on %s is noted as done, and the task was started again after it", change.Task, change.Attempt, life)
			}
		}
	}
}

// crash notes that all runs of a life are over without an end.
func (book *ledger) crash(life string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	for _, task := range book.tasks {
		delete(task.running, life)
	}
}

// handIn notes a job before it is handed in.
func (book *ledger) handIn(id string, handed *jobLedger) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.jobs[id] = handed
}

// change changes what a client has heard of a job.
func (book *ledger) change(id string, change func(handed *jobLedger)) {
	book.mu.Lock()
	defer book.mu.Unlock()
	change(book.jobs[id])
}

// accepted returns the jobs that must end.
func (book *ledger) accepted() []string {
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
		if handed.started && !handed.accepted && !handed.unsure {
			book.breach("REFUSED", "%s was refused at each try, and ran", id)
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
			if len(book.task(name).done) == 0 {
				book.breach("MIXED", "%s is shown as completed, and %s is not done", id, name)
			}
		}
	}
}

// lost notes a job that is not known to have ended.
func (book *ledger) lost(id, state string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	book.breach("LOST", "%s is still shown as %q", id, state)
}

// breaches returns what was broken so far, and how many runs there were.
func (book *ledger) breaches() (broken []string, runs int) {
	book.mu.Lock()
	defer book.mu.Unlock()
	return append([]string(nil), book.broken...), book.runs
}
