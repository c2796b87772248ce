package job

import (
	"slices"
	"time"
)

// Job holds the state of one job and of its tasks.
type Job struct {
	submission *Submission
	shard      int
	state      State
	// tasks are in the order of their rounds, steps and indexes. firstTasks holds the index within a round of the first
	// task of each step.
	tasks         []*Task
	tasksPerRound int
	firstTasks    []int
	// steps holds a state for each step of each round.
	steps []stepState
	// changed holds for each record of a divided progress whether any of its tasks has changed since it was taken.
	changed     []bool
	started     int // tasks in state TASK_STARTED
	runningAt   time.Time
	endedAt     time.Time
	submittedAt time.Time
	objective   time.Time
	// idleSince is when the job was first seen without a running task, or zero if it had one when last seen.
	idleSince time.Time
}

// New returns a job of which no task has started.
func New(submission *Submission, shard int) *Job {
	job := &Job{submission: submission, shard: shard, submittedAt: time.UnixMilli(submission.GetSubmittedMs())}
	steps := submission.GetSteps()
	for _, step := range steps {
		job.firstTasks = append(job.firstTasks, job.tasksPerRound)
		job.tasksPerRound += int(step.GetCount())
	}
	job.tasks = make([]*Task, 0, job.Rounds()*job.tasksPerRound)
	for round := range job.Rounds() {
		for number, step := range steps {
			job.steps = append(job.steps, newStepState(int(step.GetCount())))
			for index := range step.GetCount() {
				job.tasks = append(job.tasks, &Task{job: job, round: int32(round), step: int32(number), index: index})
			}
		}
	}
	job.changed = make([]bool, (len(job.tasks)+tasksPerRecord-1)/tasksPerRecord)
	job.objective = job.submittedAt.Add(job.TargetDuration())
	return job
}

// ID returns the ID of the job.
func (job *Job) ID() string { return job.submission.GetId() }

// Submission returns the job as it was submitted.
func (job *Job) Submission() *Submission { return job.submission }

// Shard returns the shard that the job belongs to.
func (job *Job) Shard() int { return job.shard }

// State returns the state that clients see.
func (job *Job) State() State { return job.state }

// Tasks returns the tasks of all rounds and steps.
func (job *Job) Tasks() []*Task { return job.tasks }

// Objective returns the time by which the job should have ended. It is not enforced.
func (job *Job) Objective() time.Time { return job.objective }

// EndedAt returns the time at which the job ended, or the zero time.
func (job *Job) EndedAt() time.Time { return job.endedAt }

// Rounds returns the number of times that the steps run.
func (job *Job) Rounds() int { return max(1, int(job.submission.GetRounds())) }

// IsScheduled reports whether the rounds of the job start at times set by a schedule.
func (job *Job) IsScheduled() bool { return job.submission.GetRounds() > 0 }

// IsLongRunning reports whether the job has tasks that run until the job is cancelled.
func (job *Job) IsLongRunning() bool {
	return slices.ContainsFunc(job.submission.GetSteps(), (*StepSpec).GetLasting)
}

// HasEnded reports whether the job has completed, failed or been cancelled, so that no task will start again.
func (job *Job) HasEnded() bool {
	return job.state == State_STATE_COMPLETED || job.state == State_STATE_FAILED || job.state == State_STATE_CANCELLED
}

// Task returns the task that a reference denotes, or nil.
func (job *Job) Task(ref TaskRef) *Task {
	steps := job.submission.GetSteps()
	if ref.Round < 0 || int(ref.Round) >= job.Rounds() || ref.Step < 0 || int(ref.Step) >= len(steps) ||
		ref.Index < 0 || ref.Index >= steps[ref.Step].GetCount() {
		return nil
	}
	return job.stepTasks(ref.Round, ref.Step)[ref.Index]
}

// HasRunningTasks reports whether any task is in state TASK_STARTED.
func (job *Job) HasRunningTasks() bool { return job.started > 0 }

// RunningTasks returns the tasks in state TASK_STARTED, whose start has been ordered.
func (job *Job) RunningTasks() []*Task {
	var running []*Task
	for _, task := range job.tasks {
		if task.state == TaskState_TASK_STARTED {
			running = append(running, task)
		}
	}
	return running
}
