package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the settings that workers follow.
const (
	maxHold   = 6 * time.Second
	gangWait  = 3 * time.Second
	stopTime  = 50 * time.Millisecond // at most stop_ms
	beginTime = 400 * time.Millisecond
)

// The ways in which a run ends.
const (
	howDone    = "done"
	howFailed  = "failed"
	howStopped = "stopped"
	howLapsed  = "lapsed"
	howBroken  = "broken"
	howAlone   = "alone"
)

// world is what all workers share: what the tasks of jobs do, which gangs have assembled, and what has run. Its lock
// guards the workers too.
type world struct {
	rec *record

	mu       sync.Mutex
	jobs     map[string]*submitted
	machines []*machine
	gangs    map[string]*gang
	history  []*run
	// fails says whether a run ends failed, by its job; nil if none does.
	fails func(job *submitted) bool
}

// gang is one attempt of the tasks of a step that work only together.
type gang struct {
	members map[string]*run
}

// run is one run of a task on a worker.
type run struct {
	task    string
	job     *submitted
	step    int
	attempt int32
	life    *life
	begunAt time.Time
	endedAt time.Time // zero while it runs
	how     string
	worksAt time.Time // when it began to work, zero while it waits for its gang
	percent int
	notedAt time.Time // when note was taken of its end
}

func newWorld(rec *record) *world {
	return &world{rec: rec, jobs: map[string]*submitted{}, gangs: map[string]*gang{}}
}

func (w *world) addJob(job *submitted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[job.id] = job
}

// parseTask returns the job, the time and the step of a task's name.
func parseTask(task string) (job, round string, step int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", "", 0, false
	}
	step, err := strconv.Atoi(parts[2])
	return parts[0], parts[1], step, err == nil
}

// begin begins a run on a worker. The caller holds the lock.
func (w *world) begin(r *run) {
	r.begunAt = time.Now()
	w.history = append(w.history, r)
	w.rec.log("worker %s: start %s attempt %d", r.life.id, r.task, r.attempt)
	spec := r.job.spec.Steps[r.step]
	if !spec.Gang {
		w.work(r)
		return
	}
	key := w.gangKey(r)
	if w.gangs[key] == nil {
		w.gangs[key] = &gang{members: map[string]*run{}}
	}
	assembled := w.gangs[key]
	assembled.members[r.task] = r
	if len(assembled.members) == spec.Count {
		for _, member := range assembled.members {
			w.work(member)
		}
		return
	}
	time.AfterFunc(gangWait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.worksAt.IsZero() {
			w.end(r, howAlone)
		}
	})
}

func (w *world) gangKey(r *run) string {
	return fmt.Sprintf("%s %d", r.task[:strings.LastIndex(r.task, ".")], r.attempt)
}

// work lets a run work from now on. The caller holds the lock.
func (w *world) work(r *run) {
	r.worksAt = time.Now()
	spec := r.job.spec.Steps[r.step]
	if spec.LongRunning {
		time.AfterFunc(beginTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			r.percent = 100
		})
		return
	}
	time.AfterFunc(time.Duration(spec.EstimateMs)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.fails != nil && w.fails(r.job) {
			w.end(r, howFailed)
			return
		}
		w.end(r, howDone)
	})
}

// end ends a run, and with it its gang. The caller holds the lock.
func (w *world) end(r *run, how string) {
	if !r.endedAt.IsZero() {
		return
	}
	r.endedAt, r.how = time.Now(), how
	w.rec.log("worker %s: end %s attempt %d %s", r.life.id, r.task, r.attempt, how)
	r.life.list(r)
	if !r.job.spec.Steps[r.step].Gang {
		return
	}
	for _, member := range w.gangs[w.gangKey(r)].members {
		others := howBroken
		if how == howDone {
			others = howDone
		}
		if member.endedAt.IsZero() {
			w.end(member, others)
		}
	}
}

// runsOf returns copies of all runs of a job.
func (w *world) runsOf(job *submitted) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []run
	for _, r := range w.history {
		if r.job == job {
			runs = append(runs, *r)
		}
	}
	return runs
}

// firstStart returns when the first run of a job began, or the zero time.
func (w *world) firstStart(job *submitted) time.Time {
	runs := w.runsOf(job)
	if len(runs) == 0 {
		return time.Time{}
	}
	return runs[0].begunAt
}

// usedShare returns the share of the processors of all workers that are up which runs hold.
func (w *world) usedShare() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	used, all := int64(0), int64(0)
	for _, m := range w.machines {
		if m.life != nil {
			all += workerCPU
			used += workerCPU - m.life.freeCPU()
		}
	}
	return float64(used) / float64(max(all, 1))
}

func (w *world) stop() {
	for _, m := range w.machines {
		m.shut()
	}
}
