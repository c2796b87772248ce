package job

import (
	"slices"
	"time"
)

// EndReason says how a run ended.
type EndReason int

// The ways in which a run ends. Only EndFailed counts against the attempts.
const (
	EndDone EndReason = iota + 1
	EndFailed
	EndInterrupted // stopped, lapsed, or lost with its worker
)

const (
	// failureBackoff keeps a task that fails at once from being started over
	// and over; it is short against the objectives, which are seconds.
	failureBackoff = 50 * time.Millisecond
	// lastingBackoff is the same for lasting tasks, which have no bound on
	// attempts.
	lastingBackoff = 200 * time.Millisecond
)

// Job is one job and its tasks.
type Job struct {
	submission *Submission
	shard      int
	state      State
	tasks      []*Task
	// left counts, for each round and step, the tasks that are not done.
	left      []int
	begunAt   time.Time
	endedAt   time.Time
	submitted time.Time
	objective time.Time
	// idleSince is when nothing of the job was first seen running.
	idleSince time.Time
}

// New returns a job none of whose tasks has started.
func New(submission *Submission, shard int) *Job {
	made := &Job{submission: submission, shard: shard, submitted: time.UnixMilli(submission.GetSubmittedMs())}
	steps := submission.GetSteps()
	made.left = make([]int, made.Rounds()*len(steps))
	for round := range made.Rounds() {
		for number, step := range steps {
			made.left[round*len(steps)+number] = int(step.GetCount())
			for index := range step.GetCount() {
				made.tasks = append(made.tasks, &Task{job: made, round: int32(round), step: int32(number), index: index})
			}
		}
	}
	made.objective = made.submitted.Add(made.allowed())
	return made
}

// allowed returns the time that the job should take at most.
func (made *Job) allowed() time.Duration {
	chain := time.Duration(made.Chain()) * time.Millisecond
	stretched := time.Duration(float64(chain) * made.submission.GetExtension())
	return stretched + time.Duration(made.submission.GetTargetLatencyMs())*time.Millisecond
}

// Chain returns the estimated milliseconds of the longest chain of steps.
func (made *Job) Chain() int64 {
	steps := made.submission.GetSteps()
	ends := make([]int64, len(steps))
	longest := int64(0)
	for number, step := range steps {
		begin := int64(0)
		for _, before := range step.GetAfter() {
			if int(before) < number {
				begin = max(begin, ends[before])
			}
		}
		ends[number] = begin + step.GetEstimateMs()
		longest = max(longest, ends[number])
	}
	return longest
}

// IdleFor returns for how long nothing of the job has been running, as far as it
// was asked.
func (made *Job) IdleFor(now time.Time) time.Duration {
	if len(made.Running()) > 0 {
		made.idleSince = time.Time{}
		return 0
	}
	if made.idleSince.IsZero() {
		made.idleSince = now
	}
	return now.Sub(made.idleSince)
}

// Slack returns the share of its spare time that the job has left: 1 when it has
// just been handed in, 0 once even undisturbed work would end after its objective.
func (made *Job) Slack(now time.Time) float64 {
	if made.Lasting() {
		// It is worth something as long as it runs.
		return 1
	}
	left := made.objective.Sub(now) - time.Duration(made.chainLeft())*time.Millisecond
	spare := made.allowed() - time.Duration(made.Chain())*time.Millisecond
	if spare <= 0 || left <= 0 {
		return 0
	}
	return min(float64(left)/float64(spare), 1)
}

// chainLeft returns the estimated milliseconds of the longest chain of steps that
// are not done.
func (made *Job) chainLeft() int64 {
	steps := made.submission.GetSteps()
	ends := make([]int64, len(steps))
	longest := int64(0)
	for number, step := range steps {
		for _, before := range step.GetAfter() {
			if int(before) < number {
				ends[number] = max(ends[number], ends[before])
			}
		}
		if made.left[number] > 0 {
			ends[number] += step.GetEstimateMs()
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// ID returns the job's ID.
func (made *Job) ID() string { return made.submission.GetId() }

// Submission returns what was handed in.
func (made *Job) Submission() *Submission { return made.submission }

// Shard returns the job's shard.
func (made *Job) Shard() int { return made.shard }

// State returns what the job's client is told.
func (made *Job) State() State { return made.state }

// Tasks returns the job's tasks.
func (made *Job) Tasks() []*Task { return made.tasks }

// Objective returns when the job should have ended.
func (made *Job) Objective() time.Time { return made.objective }

// EndedAt returns when the job ended.
func (made *Job) EndedAt() time.Time { return made.endedAt }

// Rounds returns how many times the steps run.
func (made *Job) Rounds() int { return max(1, int(made.submission.GetRounds())) }

// Scheduled reports whether the job runs at times of its own.
func (made *Job) Scheduled() bool { return made.submission.GetRounds() > 0 }

// Lasting reports whether the job has tasks that run until it is cancelled.
func (made *Job) Lasting() bool {
	return slices.ContainsFunc(made.submission.GetSteps(), (*StepSpec).GetLasting)
}

// Ended reports whether nothing of the job will start again.
func (made *Job) Ended() bool {
	return made.state == State_STATE_COMPLETED || made.state == State_STATE_FAILED || made.state == State_STATE_CANCELLED
}

// Task returns the task with the name, or nil.
func (made *Job) Task(ref Ref) *Task {
	for _, task := range made.tasks {
		if task.round == ref.Round && task.step == ref.Step && task.index == ref.Index {
			return task
		}
	}
	return nil
}

// Ready returns the tasks that may start now.
func (made *Job) Ready(now time.Time) []*Task {
	if made.Ended() {
		return nil
	}
	var ready []*Task
	for _, task := range made.tasks {
		if task.state == TaskState_TASK_WAITING && made.mayStart(task, now) {
			ready = append(ready, task)
		}
	}
	return ready
}

func (made *Job) mayStart(task *Task, now time.Time) bool {
	if now.Before(task.retryAt) || now.Before(made.due(task.round)) {
		return false
	}
	steps := len(made.submission.GetSteps())
	for _, before := range task.Spec().GetAfter() {
		if int(before) >= steps || made.left[int(task.round)*steps+int(before)] > 0 {
			return false
		}
	}
	return !task.Spec().GetGang() || made.gangIdle(task)
}

// gangIdle reports whether no member of the task's gang runs: members start
// together, under one attempt.
func (made *Job) gangIdle(task *Task) bool {
	for _, member := range made.Members(task) {
		if member.state == TaskState_TASK_STARTED {
			return false
		}
	}
	return true
}

// Members returns the tasks of the task's step in the same round.
func (made *Job) Members(task *Task) []*Task {
	var members []*Task
	for _, other := range made.tasks {
		if other.round == task.round && other.step == task.step {
			members = append(members, other)
		}
	}
	return members
}

// due returns when a round may begin.
func (made *Job) due(round int32) time.Time {
	if !made.Scheduled() {
		return time.Time{}
	}
	return time.UnixMilli(made.submission.GetFirstDueMs() + int64(round)*made.submission.GetIntervalMs())
}

// Start notes that a task is started at a place, under the next attempt. The
// members of a gang are started one after another under the attempt of the first.
func (made *Job) Start(task *Task, place Place, now time.Time) {
	task.attempt = made.nextAttempt(task)
	task.state = TaskState_TASK_STARTED
	task.place = place
	task.startedAt = now
}

// Begin notes that a run has started for certain and reports whether it is the
// job's first.
func (made *Job) Begin(now time.Time) bool {
	if made.state != State_STATE_QUEUED {
		return false
	}
	made.state = State_STATE_RUNNING
	made.begunAt = now
	return true
}

func (made *Job) nextAttempt(task *Task) int32 {
	if !task.Spec().GetGang() {
		return task.attempt + 1
	}
	highest := int32(0)
	for _, member := range made.Members(task) {
		if member.state == TaskState_TASK_STARTED {
			return member.attempt
		}
		highest = max(highest, member.attempt)
	}
	return highest + 1
}

// Release notes that the present run never was, or is over for certain without
// an end: the task waits again.
func (made *Job) Release(task *Task, now time.Time) {
	if task.state != TaskState_TASK_STARTED {
		return
	}
	task.state = TaskState_TASK_WAITING
	task.retryAt = now
}

// Saved notes the newest checkpoint of the present run.
func (made *Job) Saved(task *Task, attempt int32, checkpoint string) bool {
	if task.attempt != attempt || checkpoint == "" || task.checkpoint == checkpoint {
		return false
	}
	task.checkpoint = checkpoint
	return true
}

// CheckpointOf returns the checkpoint that a start of the task brings: its own,
// or for a gang the one that all members bring. Checkpoints begin with the work
// done, so the greatest is the newest.
func (made *Job) CheckpointOf(task *Task) string {
	if !task.Spec().GetGang() {
		return task.checkpoint
	}
	newest := ""
	for _, member := range made.Members(task) {
		newest = max(newest, member.checkpoint)
	}
	return newest
}

// End notes that a run ended and reports whether anything changed. The end of
// an earlier run than the present one counts where it can't be doubted: a
// failure counts against the attempts, and a task that waits and turns out to be
// done is done.
func (made *Job) End(task *Task, attempt int32, reason EndReason, checkpoint string, now time.Time) bool {
	present := attempt == task.attempt
	if task.state == TaskState_TASK_DONE || task.state == TaskState_TASK_FAILED {
		return false
	}
	if present && task.state != TaskState_TASK_STARTED && reason != EndDone {
		return false
	}
	if checkpoint != "" && present {
		task.checkpoint = checkpoint
	}
	made.Begin(now)
	switch reason {
	case EndDone:
		return made.done(task, present, now)
	case EndFailed:
		if slices.Contains(task.failed, attempt) {
			// Ends are told again until they are known to be in the store.
			return false
		}
		task.failed = append(task.failed, attempt)
		made.failed(task, present, now)
		return true
	case EndInterrupted:
		if !present {
			return false
		}
		task.interrupted++
		made.Release(task, now)
		return true
	}
	return false
}

func (made *Job) done(task *Task, present bool, now time.Time) bool {
	if !present && task.state == TaskState_TASK_STARTED {
		// The present run goes on: its own end decides.
		return false
	}
	if task.Spec().GetLasting() {
		made.Release(task, now)
		task.retryAt = now.Add(lastingBackoff)
		return true
	}
	finished := []*Task{task}
	if task.Spec().GetGang() {
		finished = made.Members(task)
	}
	for _, member := range finished {
		made.markDone(member)
	}
	if made.allDone() && !made.Ended() {
		made.finish(State_STATE_COMPLETED, now)
	}
	return true
}

func (made *Job) markDone(task *Task) {
	if task.state == TaskState_TASK_DONE {
		return
	}
	task.state = TaskState_TASK_DONE
	made.left[int(task.round)*len(made.submission.GetSteps())+int(task.step)]--
}

func (made *Job) allDone() bool {
	for _, count := range made.left {
		if count > 0 {
			return false
		}
	}
	return true
}

func (made *Job) failed(task *Task, present bool, now time.Time) {
	if present {
		made.Release(task, now)
		task.retryAt = now.Add(failureBackoff)
	}
	if task.Spec().GetLasting() {
		task.retryAt = now.Add(lastingBackoff)
		return
	}
	if made.gangFailures(task) < max(1, int(made.submission.GetAttempts())) {
		return
	}
	task.state = TaskState_TASK_FAILED
	if !made.Ended() {
		made.finish(State_STATE_FAILED, now)
	}
}

// gangFailures counts the failures of the task, or of its gang.
func (made *Job) gangFailures(task *Task) int {
	if !task.Spec().GetGang() {
		return len(task.failed)
	}
	var attempts []int32
	for _, member := range made.Members(task) {
		attempts = append(attempts, member.failed...)
	}
	slices.Sort(attempts)
	return len(slices.Compact(attempts))
}

// Cancel notes that the client cancelled the job and reports whether that
// changed anything.
func (made *Job) Cancel(now time.Time) bool {
	if made.Ended() {
		return false
	}
	made.finish(State_STATE_CANCELLED, now)
	return true
}

func (made *Job) finish(state State, now time.Time) {
	made.state = state
	made.endedAt = now
}

// Running returns the tasks that are started.
func (made *Job) Running() []*Task {
	var running []*Task
	for _, task := range made.tasks {
		if task.state == TaskState_TASK_STARTED {
			running = append(running, task)
		}
	}
	return running
}
