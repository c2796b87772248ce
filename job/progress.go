package job

import (
	"slices"
	"time"

	"ambertiller.example/ambertiller/incarnation"
)

// Progress returns the record of the job's state and of the tasks that have been started.
func (job *Job) Progress() *Progress { return job.progressOf(job.tasks) }

// progressOf returns the record of the job's state and of those of the tasks given that have been started.
func (job *Job) progressOf(tasks []*Task) *Progress {
	progress := &Progress{Id: job.ID(), State: job.state}
	if !job.endedAt.IsZero() {
		progress.EndedMs = job.endedAt.UnixMilli()
	}
	if !job.runningAt.IsZero() {
		progress.BegunMs = job.runningAt.UnixMilli()
	}
	places := map[Place]int32{}
	for _, task := range tasks {
		if task.attempt == 0 && task.state == TaskState_TASK_WAITING {
			continue
		}
		progress.Tasks = append(progress.Tasks, task.progressRecord(progress, places))
	}
	return progress
}

// progressRecord returns the record of a task. It adds the place of a started task to progress, unless it is
// there already; places maps each place to its number, counted from 1.
func (task *Task) progressRecord(progress *Progress, places map[Place]int32) *TaskProgress {
	record := &TaskProgress{
		Round: task.round, Step: task.step, Index: task.index,
		Attempt: task.attempt, Failed: task.failedAttempts, State: task.state, Proven: task.survivedAttempt,
	}
	record.Crashed, record.CrashedAt = encodeCrashes(task.crashes)
	record.Doubted, record.DoubtedAt = encodeCrashes(task.ambiguousCrashes)
	if task.state == TaskState_TASK_DONE {
		return record
	}
	record.Checkpoint = task.checkpoint
	if task.state != TaskState_TASK_STARTED {
		return record
	}
	if places[task.place] == 0 {
		progress.Workers = append(progress.Workers, task.place.Incarnation.WorkerID())
		progress.Born = append(progress.Born, task.place.Incarnation.StartedMs())
		progress.Agents = append(progress.Agents, task.place.AgentAddress)
		places[task.place] = int32(len(progress.Workers))
	}
	record.Worker = places[task.place]
	return record
}

// Restore sets the state of a job to that of a record. Records of one job are restored in the order they were written.
func (job *Job) Restore(progress *Progress, now time.Time) {
	job.state = progress.GetState()
	if progress.GetEndedMs() > 0 {
		job.endedAt = time.UnixMilli(progress.GetEndedMs())
	}
	if progress.GetBegunMs() > 0 {
		job.runningAt = time.UnixMilli(progress.GetBegunMs())
	}
	for _, record := range progress.GetTasks() {
		task := job.Task(TaskRef{Job: job.ID(), Round: record.GetRound(), Step: record.GetStep(), Index: record.GetIndex()})
		if task == nil {
			continue
		}
		job.restoreTask(task, record, progress, now)
	}
}

func (job *Job) restoreTask(task *Task, record *TaskProgress, progress *Progress, now time.Time) {
	if task.state == TaskState_TASK_STARTED {
		// An earlier record has another place, under which the task is counted.
		job.setState(task, TaskState_TASK_WAITING)
	}
	job.setAttempt(task, record.GetAttempt())
	if !task.Spec().GetLasting() {
		job.setFailedAttempts(task, record.GetFailed())
	}
	task.crashes = decodeCrashes(record.GetCrashed(), record.GetCrashedAt())
	task.ambiguousCrashes = decodeCrashes(record.GetDoubted(), record.GetDoubtedAt())
	task.crashedAgents = slices.Concat(record.GetCrashedAt(), record.GetDoubtedAt())
	task.survivedAttempt = record.GetProven()
	job.setCheckpoint(task, record.GetCheckpoint())
	if record.GetState() == TaskState_TASK_DONE {
		job.markDone(task)
		return
	}
	if number := int(record.GetWorker()); number > 0 && number <= len(progress.GetWorkers()) && number <= len(progress.GetAgents()) {
		task.place = progress.placeAt(number - 1)
		task.startedAt = now
	}
	job.setState(task, record.GetState())
}

// placeAt returns the place with an index. Records of earlier builds have no start times of workers.
func (progress *Progress) placeAt(index int) Place {
	startedMs := int64(0)
	if index < len(progress.GetBorn()) {
		startedMs = progress.GetBorn()[index]
	}
	return Place{Incarnation: incarnation.New(progress.GetWorkers()[index], startedMs), AgentAddress: progress.GetAgents()[index]}
}
