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
