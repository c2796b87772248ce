package job

import (
	"slices"
	"time"
)

// Job is one job and its tasks.
type Job struct {
	submission *Submission
	shard      int
	state      State
	tasks      []*Task
	// remaining counts, for each round and step, the tasks that are not done.
	remaining   []int
	runningAt   time.Time
	endedAt     time.Time
	submittedAt time.Time
	objective   time.Time
	// idleSince is when nothing of the job was first seen running.
	idleSince time.Time
}

// New returns a job none of whose tasks has started.
func New(submission *Submission, shard int) *Job {
	job := &Job{submission: submission, shard: shard, submittedAt: time.UnixMilli(submission.GetSubmittedMs())}
	steps := submission.GetSteps()
	job.remaining = make([]int, job.Rounds()*len(steps))
	for round := range job.Rounds() {
		for number, step := range steps {
			job.remaining[round*len(steps)+number] = int(step.GetCount())
			for index := range step.GetCount() {
				job.tasks = append(job.tasks, &Task{job: job, round: int32(round), step: int32(number), index: index})
			}
		}
	}
	job.objective = job.submittedAt.Add(job.TargetDuration())
	return job
}

// ID returns the job's ID.
func (job *Job) ID() string { return job.submission.GetId() }

// Submission returns what was handed in.
func (job *Job) Submission() *Submission { return job.submission }

// Shard returns the job's shard.
func (job *Job) Shard() int { return job.shard }

// State returns what the job's client is told.
func (job *Job) State() State { return job.state }

// Tasks returns the job's tasks.
func (job *Job) Tasks() []*Task { return job.tasks }

// Objective returns when the job should have ended.
func (job *Job) Objective() time.Time { return job.objective }

// EndedAt returns when the job ended.
func (job *Job) EndedAt() time.Time { return job.endedAt }

// Rounds returns how many times the steps run.
func (job *Job) Rounds() int { return max(1, int(job.submission.GetRounds())) }

// IsScheduled reports whether the job runs at times of its own.
func (job *Job) IsScheduled() bool { return job.submission.GetRounds() > 0 }

// IsLasting reports whether the job has tasks that run until it is cancelled.
func (job *Job) IsLasting() bool {
	return slices.ContainsFunc(job.submission.GetSteps(), (*StepSpec).GetLasting)
}

// HasEnded reports whether nothing of the job will start again.
func (job *Job) HasEnded() bool {
	return job.state == State_STATE_COMPLETED || job.state == State_STATE_FAILED || job.state == State_STATE_CANCELLED
}

// Task returns the task with the name, or nil.
func (job *Job) Task(ref TaskRef) *Task {
	for _, task := range job.tasks {
		if task.round == ref.Round && task.step == ref.Step && task.index == ref.Index {
			return task
		}
	}
	return nil
}

// RunningTasks returns the tasks that are started.
func (job *Job) RunningTasks() []*Task {
	var running []*Task
	for _, task := range job.tasks {
		if task.state == TaskState_TASK_STARTED {
			running = append(running, task)
		}
	}
	return running
}
