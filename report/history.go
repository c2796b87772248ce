package report

import (
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
)

// history is what the lines say, put together by job, run and worker.
type history struct {
	from, to time.Time
	jobs     map[string]*jobHistory
	tasks    map[string]*taskHistory
	workers  map[string]*workerHistory
	machines map[string]*workerHistory // the incarnation that each has now
	misses   []*miss
	open     map[string]*miss // misses that go on, by task
	orders   map[string]int
	marks    []mark
	dropped  int
	traffic  map[string]*Traffic // by kind
}

// jobHistory is the life of one job.
type jobHistory struct {
	id, queue  string
	acceptedAt time.Time // when its client sent it, as far as the gateway knows
	endedAt    time.Time // zero while it goes on
	state      string
	took       time.Duration
	allowed    time.Duration
	coreMillis int64
	tasks      []*taskHistory
}

// taskHistory holds the runs of one task, in the order of their attempts.
type taskHistory struct {
	step int32
	runs []*runHistory
}

// last returns the task's newest run; a task is known by its first one.
func (task *taskHistory) last() *runHistory { return task.runs[len(task.runs)-1] }

// runHistory is one run of a task.
type runHistory struct {
	attempt  int32
	worker   string
	image    string
	fills    bool
	serves   bool
	milliCPU int64
	estimate time.Duration
	placedAt time.Time
	waited   time.Duration
	obstacle string
	recorded time.Duration
	endedAt  time.Time // zero while it goes on
	how      runEnd
	evicted  bool
	// pace is the share at which the run goes since pacedAt, slowed what it has lost
	// by paces below 1.
	pace    float64
	pacedAt time.Time
	slowed  time.Duration
}

// runEnd is how a run was over.
type runEnd string

const (
	runGoesOn  runEnd = "goes on"
	runDone    runEnd = "done"
	runFailed  runEnd = "failed"
	runStopped runEnd = "stopped"
	runLost    runEnd = "lost"
	runRefused runEnd = "refused"
)

// miss is a stretch during which a serving task missed its target.
type miss struct {
	run    *runHistory
	image  string
	beside []string
	from   time.Time
	to     time.Time
}

// mark is a moment that explains others: something was lost or came back.
type mark struct {
	at   time.Time
	what string
}

func newHistory(from, to time.Time) *history {
	return &history{
		from: from, to: to,
		jobs: map[string]*jobHistory{}, tasks: map[string]*taskHistory{}, workers: map[string]*workerHistory{},
		machines: map[string]*workerHistory{},
		open:     map[string]*miss{}, orders: map[string]int{}, traffic: map[string]*Traffic{},
	}
}

// note takes in a line. Lines come in the order of their times.
func (past *history) note(one *line) {
	past.noteMark(one)
	switch one.Event {
	case event.JobAccepted:
		past.jobOf(one.Job).acceptedAt = one.At.Add(-one.Took)
	case event.JobTaken:
		past.noteTaken(one)
	case event.JobEnded:
		past.noteJobEnded(one)
	case event.RunPlaced:
		past.notePlaced(one)
	case event.RunNotStarted, event.OrderRefused:
		past.endRun(one, runRefused)
	case event.RunEnded:
		past.noteRunEnded(one)
	case event.RunLost:
		past.endRun(one, runLost)
	case event.RunEvicted:
		if run := past.runOf(one.Task, one.Attempt); run != nil {
			run.evicted = true
		}
	case event.FillsPaced:
		past.notePaced(one)
	case event.TargetMissed:
		past.noteMissed(one)
	case event.TargetKept:
		past.endMiss(one.Task, one.At)
	case event.WorkerSeen:
		past.noteWorkerSeen(one)
	case event.MessagesSent:
		past.noteSent(one)
	case event.LinesDropped:
		past.dropped += one.Count
	}
}

func (past *history) jobOf(id string) *jobHistory {
	if past.jobs[id] == nil {
		past.jobs[id] = &jobHistory{id: id}
	}
	return past.jobs[id]
}

// worker returns what is known of the life of a worker that a line is about.
func (past *history) worker(one *line) *workerHistory {
	id := one.life()
	if past.workers[id] == nil {
		past.workers[id] = &workerHistory{id: id}
	}
	return past.workers[id]
}

// life names the incarnation that a line is about.
func (one *line) life() string { return incarnation.New(one.Worker, one.Born).String() }

// noteWorkerSeen takes in a heartbeat. A machine has one worker, so another
// incarnation there was over by then.
func (past *history) noteWorkerSeen(one *line) {
	if before := past.machines[one.Name]; before != nil && before.id != one.life() && before.goneAt.IsZero() {
		before.goneAt = one.At
	}
	seen := past.worker(one)
	seen.seen(one)
	past.machines[one.Name] = seen
}

func (past *history) noteTaken(one *line) {
	taken := past.jobOf(one.Job)
	if taken.acceptedAt.IsZero() {
		taken.acceptedAt = one.At.Add(-one.Age)
	}
	taken.queue, taken.allowed, taken.coreMillis = one.Queue, one.Allowed, one.CoreMillis
}

func (past *history) noteJobEnded(one *line) {
	ended := past.jobOf(one.Job)
	ended.endedAt, ended.state, ended.took = one.At, one.State, one.Took
}

func (past *history) notePlaced(one *line) {
	ref, err := job.ParseTaskRef(one.Task)
	if err != nil {
		// Not a name that this version gives; the run can't be put with its job.
		return
	}
	task := past.tasks[one.Task]
	if task == nil {
		task = &taskHistory{step: ref.Step}
		past.tasks[one.Task] = task
		of := past.jobOf(ref.Job)
		of.tasks = append(of.tasks, task)
	}
	past.endUnseen(task, one)
	run := &runHistory{
		attempt: one.Attempt, worker: one.life(), image: one.Image, fills: one.Fills, serves: one.TargetMillis > 0,
		milliCPU: one.MilliCPU, estimate: time.Duration(one.EstimateMillis) * time.Millisecond,
		placedAt: one.At, waited: one.Waited, obstacle: one.Obstacle, how: runGoesOn, pace: 1, pacedAt: one.At,
	}
	task.runs = append(task.runs, run)
	on := past.worker(one)
	on.runs = append(on.runs, run)
}

// endUnseen ends a task's last run where its end is not in the logs: the task is placed
// anew only once that run is over, or if its start never got into the store.
func (past *history) endUnseen(task *taskHistory, placed *line) {
	if len(task.runs) == 0 || task.last().how != runGoesOn {
		return
	}
	before := *placed
	before.Attempt = task.last().attempt
	past.endRun(&before, runLost)
}

// runOf returns the newest run of an attempt, or nil if its placing is not in the logs.
func (past *history) runOf(task string, attempt int32) *runHistory {
	known := past.tasks[task]
	if known == nil {
		return nil
	}
	for _, run := range slices.Backward(known.runs) {
		if run.attempt == attempt {
			return run
		}
	}
	return nil
}

// noteRunEnded takes in the end that an owner noted; agents log the same end, without
// how long the store took, and maybe again.
func (past *history) noteRunEnded(one *line) {
	if run := past.runOf(one.Task, one.Attempt); run != nil && one.Recorded > 0 {
		run.recorded = one.Recorded
	}
	switch strings.ToLower(strings.TrimPrefix(one.How, "END_")) {
	case "done":
		past.endRun(one, runDone)
	case "failed":
		past.endRun(one, runFailed)
	case "lost", "lapsed":
		past.endRun(one, runLost)
	default:
		past.endRun(one, runStopped)
	}
}

func (past *history) endRun(one *line, how runEnd) {
	run := past.runOf(one.Task, one.Attempt)
	if run == nil || run.how != runGoesOn {
		return
	}
	run.how, run.endedAt = how, one.At
	run.notePace(one.At, 1)
	past.endMiss(one.Task, one.At)
	past.orders[string(how)]++
}

func (past *history) notePaced(one *line) {
	if task := past.tasks[one.Task]; task != nil {
		task.last().notePace(one.At, float64(one.Percent)/percent)
	}
}

// percent is the number of hundredths in a whole.
const percent = 100

// notePace counts what the pace so far has cost and goes on with another.
func (run *runHistory) notePace(now time.Time, pace float64) {
	run.slowed += time.Duration(float64(now.Sub(run.pacedAt)) * (1 - run.pace))
	run.pace, run.pacedAt = pace, now
}

func (past *history) noteMissed(one *line) {
	if past.open[one.Task] != nil {
		return
	}
	begun := &miss{run: past.runOf(one.Task, one.Attempt), image: one.Image, from: one.At}
	if one.Beside != "" {
		begun.beside = strings.Split(one.Beside, ",")
	}
	past.open[one.Task] = begun
	past.misses = append(past.misses, begun)
}

func (past *history) endMiss(task string, now time.Time) {
	if begun := past.open[task]; begun != nil {
		begun.to = now
		delete(past.open, task)
	}
}

// close ends what still goes on with the last line.
func (past *history) close() {
	for task := range past.open {
		past.endMiss(task, past.to)
	}
	for _, task := range past.tasks {
		for _, run := range task.runs {
			if run.how == runGoesOn {
				run.notePace(past.to, run.pace)
			}
		}
	}
}

// until returns when a run was over, or the end of the logs.
func (run *runHistory) until(end time.Time) time.Time {
	if run.how == runGoesOn {
		return end
	}
	return run.endedAt
}
