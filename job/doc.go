// Package job holds jobs of steps and tasks: what was handed in, which tasks may
// start, and what has become of each. It decides nothing about places and reads
// no clock.
//
// A job is a Submission, which never changes, and its tasks. A task is one index
// of one step of one round. It waits until the steps before it are done, is
// started under an attempt that rises with each start, and ends done, or waits
// again, or has failed for good.
//
// # Usage
//
//	made := job.New(submission, job.ShardOf(submission.GetId(), parts))
//	for _, task := range made.Ready(now) {
//		made.Start(task, place, now)
//	}
//	changed := made.End(task, attempt, job.EndDone, checkpoint, now)
//	progress := made.Progress()
package job
