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
	from, to       time.Time
	jobs           map[string]*jobHistory
	tasks          map[string]*taskHistory
	workers        map[string]*workerHistory
	currentWorkers map[string]*workerHistory // the incarnation that each has now
	misses         []*miss
	openMisses     map[string]*miss // misses that go on, by task
	runOutcomes    map[string]int
	timelineEvents []timelineEvent
	droppedLines   int
	traffic        map[string]*Traffic // by kind
}

// jobHistory is the life of one job.
type jobHistory struct {
	id, queue      string
	acceptedAt     time.Time // when its client sent it, as far as the gateway knows
	endedAt        time.Time // zero while it goes on
	state          string
	duration       time.Duration
	targetDuration time.Duration
	coreMs         int64
	tasks          []*taskHistory
}

// taskHistory holds the runs of one task, in the order of their attempts.
type taskHistory struct {
	step int32
	runs []*runHistory
}

// lastRun returns the task's newest run; a task is known by its first one.
func (task *taskHistory) lastRun() *runHistory { return task.runs[len(task.runs)-1] }

// runHistory is one run of a task.
type runHistory struct {
	attempt   int32
	worker    string
	image     string
	isFill    bool
	isServing bool
	milliCPU  int64
	estimate  time.Duration
	placedAt  time.Time
	waitTime  time.Duration
	obstacle  string
	storeTime time.Duration
	endedAt   time.Time // zero while it goes on
	outcome   runOutcome
	evicted   bool
	// pace is the share at which the run goes since pacedAt, slowed what it has lost
	// by paces below 1.
	pace       float64
	paceSetAt  time.Time
	slowedTime time.Duration
}

// runOutcome is how a run was over.
type runOutcome string

const (
	runOngoing runOutcome = "goes on"
	runDone    runOutcome = "done"
	runFailed  runOutcome = "failed"
	runStopped runOutcome = "stopped"
	runLost    runOutcome = "lost"
	runRefused runOutcome = "refused"
)

// miss is a stretch during which a serving task missed its target.
type miss struct {
	run        *runHistory
	image      string
	fillImages []string
	from       time.Time
	to         time.Time
}

// timelineEvent is a moment that explains others: something was lost or came back.
type timelineEvent struct {
	at    time.Time
	label string
}

func newHistory(from, to time.Time) *history {
	return &history{
		from: from, to: to,
		jobs: map[string]*jobHistory{}, tasks: map[string]*taskHistory{}, workers: map[string]*workerHistory{},
		currentWorkers: map[string]*workerHistory{},
		openMisses:     map[string]*miss{}, runOutcomes: map[string]int{}, traffic: map[string]*Traffic{},
	}
}

// apply takes in a line. Lines come in the order of their times.
func (past *history) apply(one *line) {
	past.applyTimelineEvent(one)
	switch one.Event {
	case event.JobAccepted:
		past.findOrAddJob(one.Job).acceptedAt = one.At.Add(-one.Took)
	case event.JobTaken:
		past.applyJobTaken(one)
	case event.JobEnded:
		past.applyJobEnded(one)
	case event.RunPlaced:
		past.applyRunPlaced(one)
	case event.RunNotStarted, event.OrderRefused:
		past.endRun(one, runRefused)
	case event.RunEnded:
		past.applyRunEnded(one)
	case event.RunLost:
		past.endRun(one, runLost)
	case event.RunEvicted:
		if run := past.findRun(one.Task, one.Attempt); run != nil {
			run.evicted = true
		}
	case event.FillsPaced:
		past.applyFillsPaced(one)
	case event.TargetMissed:
		past.applyTargetMissed(one)
	case event.TargetKept:
		past.endMiss(one.Task, one.At)
	case event.WorkerSeen:
		past.applyWorkerSeen(one)
	case event.MessagesSent:
		past.applyMessagesSent(one)
	case event.LinesDropped:
		past.droppedLines += one.Count
	}
}

func (past *history) findOrAddJob(id string) *jobHistory {
	if past.jobs[id] == nil {
		past.jobs[id] = &jobHistory{id: id}
	}
	return past.jobs[id]
}

// findOrAddWorker returns what is known of the life of a worker that a line is about.
func (past *history) findOrAddWorker(one *line) *workerHistory {
	id := one.incarnationID()
	if past.workers[id] == nil {
		past.workers[id] = &workerHistory{id: id}
	}
	return past.workers[id]
}

// incarnationID names the incarnation that a line is about.
func (one *line) incarnationID() string { return incarnation.New(one.Worker, one.StartedMs).String() }

// applyWorkerSeen takes in a heartbeat. A machine has one worker, so another
// incarnation there was over by then.
func (past *history) applyWorkerSeen(one *line) {
	if before := past.currentWorkers[one.Name]; before != nil && before.id != one.incarnationID() && before.replacedAt.IsZero() {
		before.replacedAt = one.At
	}
	seen := past.findOrAddWorker(one)
	seen.updateFromHeartbeat(one)
	past.currentWorkers[one.Name] = seen
}

func (past *history) applyJobTaken(one *line) {
	taken := past.findOrAddJob(one.Job)
	if taken.acceptedAt.IsZero() {
		taken.acceptedAt = one.At.Add(-one.Age)
	}
	taken.queue, taken.targetDuration, taken.coreMs = one.Queue, one.TargetDuration, one.CoreMs
}

func (past *history) applyJobEnded(one *line) {
	ended := past.findOrAddJob(one.Job)
	ended.endedAt, ended.state, ended.duration = one.At, one.State, one.Took
}

func (past *history) applyRunPlaced(one *line) {
	ref, err := job.ParseTaskRef(one.Task)
	if err != nil {
		// Not a name that this version gives; the run can't be put with its job.
		return
	}
	task := past.tasks[one.Task]
	if task == nil {
		task = &taskHistory{step: ref.Step}
		past.tasks[one.Task] = task
		of := past.findOrAddJob(ref.Job)
		of.tasks = append(of.tasks, task)
	}
	past.endUnloggedRun(task, one)
	run := &runHistory{
		attempt: one.Attempt, worker: one.incarnationID(), image: one.Image, isFill: one.IsFill, isServing: one.TargetMs > 0,
		milliCPU: one.MilliCPU, estimate: time.Duration(one.EstimateMs) * time.Millisecond,
		placedAt: one.At, waitTime: one.Waited, obstacle: one.Obstacle, outcome: runOngoing, pace: 1, paceSetAt: one.At,
	}
	task.runs = append(task.runs, run)
	on := past.findOrAddWorker(one)
	on.runs = append(on.runs, run)
}

// endUnloggedRun ends a task's last run where its end is not in the logs: the task is placed
// anew only once that run is over, or if its start never got into the store.
func (past *history) endUnloggedRun(task *taskHistory, placed *line) {
	if len(task.runs) == 0 || task.lastRun().outcome != runOngoing {
		return
	}
	before := *placed
	before.Attempt = task.lastRun().attempt
	past.endRun(&before, runLost)
}

// findRun returns the newest run of an attempt, or nil if its placing is not in the logs.
func (past *history) findRun(task string, attempt int32) *runHistory {
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

// applyRunEnded takes in the end that an owner noted; agents log the same end, without
// how long the store took, and maybe again.
func (past *history) applyRunEnded(one *line) {
	if run := past.findRun(one.Task, one.Attempt); run != nil && one.StoreTime > 0 {
		run.storeTime = one.StoreTime
	}
	switch strings.ToLower(strings.TrimPrefix(one.EndReason, "END_")) {
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

func (past *history) endRun(one *line, how runOutcome) {
	run := past.findRun(one.Task, one.Attempt)
	if run == nil || run.outcome != runOngoing {
		return
	}
	run.outcome, run.endedAt = how, one.At
	run.setPace(one.At, 1)
	past.endMiss(one.Task, one.At)
	past.runOutcomes[string(how)]++
}

func (past *history) applyFillsPaced(one *line) {
	if task := past.tasks[one.Task]; task != nil {
		task.lastRun().setPace(one.At, float64(one.Percent)/percent)
	}
}

// percent is the number of hundredths in a whole.
const percent = 100

// setPace counts what the pace so far has cost and goes on with another.
func (run *runHistory) setPace(now time.Time, pace float64) {
	run.slowedTime += time.Duration(float64(now.Sub(run.paceSetAt)) * (1 - run.pace))
	run.pace, run.paceSetAt = pace, now
}

func (past *history) applyTargetMissed(one *line) {
	if past.openMisses[one.Task] != nil {
		return
	}
	begun := &miss{run: past.findRun(one.Task, one.Attempt), image: one.Image, from: one.At}
	if one.FillImages != "" {
		begun.fillImages = strings.Split(one.FillImages, ",")
	}
	past.openMisses[one.Task] = begun
	past.misses = append(past.misses, begun)
}

func (past *history) endMiss(task string, now time.Time) {
	if begun := past.openMisses[task]; begun != nil {
		begun.to = now
		delete(past.openMisses, task)
	}
}

// closeOpenIntervals ends what still goes on with the last line.
func (past *history) closeOpenIntervals() {
	for task := range past.openMisses {
		past.endMiss(task, past.to)
	}
	for _, task := range past.tasks {
		for _, run := range task.runs {
			if run.outcome == runOngoing {
				run.setPace(past.to, run.pace)
			}
		}
	}
}

// endOr returns when a run was over, or the end of the logs.
func (run *runHistory) endOr(end time.Time) time.Time {
	if run.outcome == runOngoing {
		return end
	}
	return run.endedAt
}
