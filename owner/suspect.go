package owner

import (
	"cmp"

	"ambertiller.example/ambertiller/job"
)

// crashesBeforeIsolation is after how many crashes a task goes where the least runs: it is likely to
// bring the worker down, which costs all else there. Before, it is most likely a chance
// victim and goes where it does best.
const crashesBeforeIsolation = 2

// compareForSuspect orders two workers for a task that a worker may have crashed for, the
// better one first; 0 if it has no preference. It prefers a machine where none of the task's
// runs met a crash: a worker that goes down again and again by itself would make a cause of
// whatever is started there, most of all as it is the emptiest each time.
func compareForSuspect(task *job.Task, a, b *candidate) int {
	if !task.IsSuspect() {
		return 0
	}
	if crashedA, crashedB := task.HasCrashedWorkerOf(a.view.address), task.HasCrashedWorkerOf(b.view.address); crashedA != crashedB {
		if crashedB {
			return -1
		}
		return 1
	}
	if task.Crashes() < crashesBeforeIsolation {
		return 0
	}
	return cmp.Compare(b.free.MilliCPU, a.free.MilliCPU)
}
