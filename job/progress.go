package job

import (
	"time"

	"ambertiller.example/ambertiller/incarnation"
)

// Progress returns the record of what has become of the job.
func (job *Job) Progress() *Progress {
	kept := &Progress{Id: job.ID(), State: job.state}
	if !job.endedAt.IsZero() {
		kept.EndedMs = job.endedAt.UnixMilli()
	}
	if !job.runningAt.IsZero() {
		kept.BegunMs = job.runningAt.UnixMilli()
	}
	places := map[Place]int32{}
	for _, task := range job.tasks {
		if task.attempt == 0 && task.state == TaskState_TASK_WAITING {
			continue
		}
		kept.Tasks = append(kept.Tasks, task.progressRecord(kept, places))
	}
	return kept
}

func (task *Task) progressRecord(kept *Progress, places map[Place]int32) *TaskProgress {
	record := &TaskProgress{
		Round: task.round, Step: task.step, Index: task.index,
		Attempt: task.attempt, Failed: task.failedAttempts, State: task.state, Crashed: task.crashedAttempts, Doubted: task.ambiguousAttempts, Proven: task.survivedAttempt,
	}
	if task.state == TaskState_TASK_DONE {
		return record
	}
	record.Checkpoint = task.checkpoint
	if task.state != TaskState_TASK_STARTED {
		return record
	}
	if places[task.place] == 0 {
		kept.Workers = append(kept.Workers, task.place.Incarnation.WorkerID())
		kept.Born = append(kept.Born, task.place.Incarnation.StartedMs())
		kept.Agents = append(kept.Agents, task.place.AgentAddress)
		places[task.place] = int32(len(kept.Workers))
	}
	record.Worker = places[task.place]
	return record
}

// Restore brings a job that has just been made to the state of a record.
func (job *Job) Restore(kept *Progress, now time.Time) {
	job.state = kept.GetState()
	if kept.GetEndedMs() > 0 {
		job.endedAt = time.UnixMilli(kept.GetEndedMs())
	}
	if kept.GetBegunMs() > 0 {
		job.runningAt = time.UnixMilli(kept.GetBegunMs())
	}
	for _, record := range kept.GetTasks() {
		task := job.Task(TaskRef{Job: job.ID(), Round: record.GetRound(), Step: record.GetStep(), Index: record.GetIndex()})
		if task == nil {
			continue
		}
		job.restoreTask(task, record, kept, now)
	}
}

func (job *Job) restoreTask(task *Task, record *TaskProgress, kept *Progress, now time.Time) {
	task.attempt = record.GetAttempt()
	task.failedAttempts = record.GetFailed()
	task.crashedAttempts = record.GetCrashed()
	task.ambiguousAttempts = record.GetDoubted()
	task.survivedAttempt = record.GetProven()
	task.checkpoint = record.GetCheckpoint()
	if record.GetState() == TaskState_TASK_DONE {
		job.markDone(task)
		return
	}
	task.state = record.GetState()
	if at := int(record.GetWorker()); at > 0 && at <= len(kept.GetWorkers()) && at <= len(kept.GetAgents()) {
		task.place = kept.placeAt(at - 1)
		task.startedAt = now
	}
}

// placeAt returns the place that stands at an index. Records of earlier builds name workers by their ids alone.
func (kept *Progress) placeAt(at int) Place {
	started := int64(0)
	if at < len(kept.GetBorn()) {
		started = kept.GetBorn()[at]
	}
	return Place{Incarnation: incarnation.New(kept.GetWorkers()[at], started), AgentAddress: kept.GetAgents()[at]}
}
