// Package job holds jobs, which consist of steps and tasks: the submission, which tasks may start, and the
// state of each task. It does not select workers and does not read the clock.
//
// A job has a Submission, which never changes, and tasks. A task is identified by its round, its step and its
// index within the step. It waits until the steps that its step depends on are done, and is then started.
// Each start begins a new run of the task, with a higher attempt number than the run before. When a run ends,
// the task is done, has failed permanently, or waits to be started again.
//
// # Usage
//
//	made := job.New(submission, job.ShardOf(submission.GetId(), shards))
//	for _, task := range made.ReadyTasks(now) {
//		made.StartRun(task, place, now)
//	}
//	changed := made.EndRun(task, attempt, job.EndDone, checkpoint, now)
//	progress := made.Progress()
package job
