package report

import (
	"slices"
	"strings"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
)

// history collects what the log lines say about jobs, tasks and workers.
type history struct {
	from, to       time.Time
	jobs           map[string]*jobHistory    // by job ID
	tasks          map[string]*taskHistory   // by task name
	workers        map[string]*workerHistory // by incarnation
	currentWorkers map[string]*workerHistory // the present incarnation on each machine, by the name of its agent
	misses         []*miss
	openMisses     map[string]*miss // misses that have not ended yet, by task name
	runOutcomes    map[string]int
	timelineEvents []timelineEvent
	droppedLines   int
	traffic        map[string]*Traffic // by kind
	refusals       refusalHistory
	moves          moveHistory
	ownership      ownershipHistory
}

// jobHistory holds what is known of one job.
type jobHistory struct {
	id, queue      string
	acceptedAt     time.Time // when the gateway received it, or the time of submission if that is not in the logs
	endedAt        time.Time // zero if the job has not ended
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

// lastRun returns the newest run of the task. There is at least one: a task is added with its first run.
func (task *taskHistory) lastRun() *runHistory { return task.runs[len(task.runs)-1] }

// runHistory holds what is known of one run of a task.
type runHistory struct {
	attempt   int32
	worker    string
	image     string
	isFill    bool
	isServing bool
	milliCPU  int64
	estimate  time.Duration
	placedAt  time.Time
	waitTime  time.Duration // how long its task was ready before it was placed
	obstacle  string        // what prevented an earlier placement
	storeTime time.Duration // how long the store took to accept the start
	endedAt   time.Time     // zero if the run has not ended
	outcome   runOutcome
	evicted   bool
	moved     bool // evicted after an accepted offer
	// pace is the fraction of its full speed at which the run has gone since paceSetAt. slowedTime is the
	// time that it has lost to paces below 1.
	pace       float64
	paceSetAt  time.Time
	slowedTime time.Duration
}

// runOutcome is how a run ended.
type runOutcome string

const (
	runOngoing runOutcome = "goes on"
	runDone    runOutcome = "done"
	runFailed  runOutcome = "failed"
	runStopped runOutcome = "stopped"
	runLost    runOutcome = "lost"
	runRefused runOutcome = "refused"
)

// miss is a period during which a serving task missed its tail latency target.
type miss struct {
	run        *runHistory // nil if its placement is not in the logs
	image      string
	fillImages []string // the images of the fill runs on the worker when the miss began
	from       time.Time
	to         time.Time
}

// timelineEvent is an event that may explain others at the same time, such as the loss or return of a worker.
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
		refusals: newRefusalHistory(), moves: newMoveHistory(), ownership: newOwnershipHistory(),
	}
}

// apply updates the history from a log line. Lines must be applied in the order of their times.
func (h *history) apply(ln *line) {
	h.applyTimelineEvent(ln)
	h.refusals.apply(ln)
	h.moves.apply(ln)
	h.ownership.apply(ln)
	switch ln.Event {
	case event.JobAccepted:
		h.findOrAddJob(ln.Job).acceptedAt = ln.At.Add(-ln.Took)
	case event.JobTaken:
		h.applyJobTaken(ln)
	case event.JobEnded:
		h.applyJobEnded(ln)
	case event.RunPlaced:
		h.applyRunPlaced(ln)
	case event.RunNotStarted, event.OrderRefused:
		h.endRun(ln, runRefused)
	case event.RunEnded:
		h.applyRunEnded(ln)
	case event.RunLost:
		h.endRun(ln, runLost)
	case event.RunEvicted:
		if run := h.findRun(ln.Task, ln.Attempt); run != nil {
			run.evicted, run.moved = true, h.moves.accepted[ln.runKey()]
		}
	case event.FillsPaced:
		h.applyFillsPaced(ln)
	case event.TargetMissed:
		h.applyTargetMissed(ln)
	case event.TargetKept:
		h.endMiss(ln.Task, ln.At)
	case event.WorkerSeen:
		h.applyWorkerSeen(ln)
	case event.MessagesSent:
		h.applyMessagesSent(ln)
	case event.LinesDropped:
		h.droppedLines += ln.Count
	}
}

func (h *history) findOrAddJob(id string) *jobHistory {
	if h.jobs[id] == nil {
		h.jobs[id] = &jobHistory{id: id}
	}
	return h.jobs[id]
}

// findOrAddWorker returns the history of the incarnation that a line refers to.
func (h *history) findOrAddWorker(ln *line) *workerHistory {
	id := ln.incarnationID()
	if h.workers[id] == nil {
		h.workers[id] = &workerHistory{id: id}
	}
	return h.workers[id]
}

// incarnationID returns the ID of the incarnation that the line refers to.
func (ln *line) incarnationID() string { return incarnation.New(ln.Worker, ln.StartedMs).String() }

// applyWorkerSeen handles the logged heartbeat of a worker. A machine has one worker, so an earlier
// incarnation on the same machine was over by then.
func (h *history) applyWorkerSeen(ln *line) {
	if previous := h.currentWorkers[ln.Name]; previous != nil && previous.id != ln.incarnationID() && previous.replacedAt.IsZero() {
		previous.replacedAt = ln.At
	}
	current := h.findOrAddWorker(ln)
	current.updateFromHeartbeat(ln)
	h.currentWorkers[ln.Name] = current
}

func (h *history) applyJobTaken(ln *line) {
	j := h.findOrAddJob(ln.Job)
	if j.acceptedAt.IsZero() {
		j.acceptedAt = ln.At.Add(-ln.Age)
	}
	j.queue, j.targetDuration, j.coreMs = ln.Queue, ln.TargetDuration, ln.CoreMs
}

func (h *history) applyJobEnded(ln *line) {
	j := h.findOrAddJob(ln.Job)
	j.endedAt, j.state, j.duration = ln.At, ln.State, ln.Took
}

func (h *history) applyRunPlaced(ln *line) {
	ref, err := job.ParseTaskRef(ln.Task)
	if err != nil {
		// This version does not generate such task names, so the job of the run is unknown.
		return
	}
	task := h.tasks[ln.Task]
	if task == nil {
		task = &taskHistory{step: ref.Step}
		h.tasks[ln.Task] = task
		j := h.findOrAddJob(ref.Job)
		j.tasks = append(j.tasks, task)
	}
	h.endUnloggedRun(task, ln)
	run := &runHistory{
		attempt: ln.Attempt, worker: ln.incarnationID(), image: ln.Image, isFill: ln.IsFill, isServing: ln.TargetMs > 0,
		milliCPU: ln.MilliCPU, estimate: time.Duration(ln.EstimateMs) * time.Millisecond,
		placedAt: ln.At, waitTime: ln.Waited, obstacle: ln.Obstacle, outcome: runOngoing, pace: 1, paceSetAt: ln.At,
	}
	task.runs = append(task.runs, run)
	worker := h.findOrAddWorker(ln)
	worker.runs = append(worker.runs, run)
}

// endUnloggedRun marks the last run of a task as lost if its end is not in the logs. The task is placed again
// only once that run is over, or if the start of that run was never stored.
func (h *history) endUnloggedRun(task *taskHistory, ln *line) {
	if len(task.runs) == 0 || task.lastRun().outcome != runOngoing {
		return
	}
	end := *ln
	end.Attempt = task.lastRun().attempt
	h.endRun(&end, runLost)
}

// findRun returns the newest run with the given attempt number, or nil if its placement is not in the logs.
func (h *history) findRun(task string, attempt int32) *runHistory {
	t := h.tasks[task]
	if t == nil {
		return nil
	}
	for _, run := range slices.Backward(t.runs) {
		if run.attempt == attempt {
			return run
		}
	}
	return nil
}

// applyRunEnded handles the end of a run. Owners and agents both log it, and agents may log it repeatedly.
// Only the owner's line says how long the store took.
func (h *history) applyRunEnded(ln *line) {
	if run := h.findRun(ln.Task, ln.Attempt); run != nil && ln.StoreTime > 0 {
		run.storeTime = ln.StoreTime
	}
	switch strings.ToLower(strings.TrimPrefix(ln.EndReason, "END_")) {
	case "done":
		h.endRun(ln, runDone)
	case "failed":
		h.endRun(ln, runFailed)
	case "lost", "lapsed":
		h.endRun(ln, runLost)
	default:
		h.endRun(ln, runStopped)
	}
}

func (h *history) endRun(ln *line, outcome runOutcome) {
	run := h.findRun(ln.Task, ln.Attempt)
	if run == nil || run.outcome != runOngoing {
		return
	}
	run.outcome, run.endedAt = outcome, ln.At
	run.setPace(ln.At, 1)
	h.endMiss(ln.Task, ln.At)
	h.runOutcomes[string(outcome)]++
}

func (h *history) applyFillsPaced(ln *line) {
	if task := h.tasks[ln.Task]; task != nil {
		task.lastRun().setPace(ln.At, float64(ln.Percent)/percent)
	}
}

// percent converts between fractions and percentages.
const percent = 100

// setPace adds the time lost at the present pace to slowedTime, and sets a new pace.
func (run *runHistory) setPace(now time.Time, pace float64) {
	run.slowedTime += time.Duration(float64(now.Sub(run.paceSetAt)) * (1 - run.pace))
	run.pace, run.paceSetAt = pace, now
}

func (h *history) applyTargetMissed(ln *line) {
	if h.openMisses[ln.Task] != nil {
		return
	}
	m := &miss{run: h.findRun(ln.Task, ln.Attempt), image: ln.Image, from: ln.At}
	if ln.FillImages != "" {
		m.fillImages = strings.Split(ln.FillImages, ",")
	}
	h.openMisses[ln.Task] = m
	h.misses = append(h.misses, m)
}

func (h *history) endMiss(task string, now time.Time) {
	if m := h.openMisses[task]; m != nil {
		m.to = now
		delete(h.openMisses, task)
	}
}

// closeOpenIntervals ends open misses at the time of the last line, and accounts the slowed time of ongoing
// runs until then.
func (h *history) closeOpenIntervals() {
	for task := range h.openMisses {
		h.endMiss(task, h.to)
	}
	for _, task := range h.tasks {
		for _, run := range task.runs {
			if run.outcome == runOngoing {
				run.setPace(h.to, run.pace)
			}
		}
	}
}

// endOr returns when the run ended, or the given time if it has not ended.
func (run *runHistory) endOr(end time.Time) time.Time {
	if run.outcome == runOngoing {
		return end
	}
	return run.endedAt
}
