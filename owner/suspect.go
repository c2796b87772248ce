package owner

import (
	"cmp"

	"ambertiller.example/ambertiller/job"
)

// crashesBeforeIsolation is the number of crashes after which a task is placed on the least loaded
// worker: the task is likely to crash that worker, and all other runs there are lost with it. A task
// with fewer crashes most likely just happened to run on a worker that another task crashed, so it is
// placed where it runs best.
const crashesBeforeIsolation = 2

// startsSuspectBeside reports whether another member of the task's gang is to be started on the worker as a suspect. It
// then stands for the gang, since agents start one suspect at a time and the members of a gang at the same time. If the
// worker crashes again, that crash is ambiguous for the other members.
func (view *agentView) startsSuspectBeside(task *job.Task) bool {
	if !task.Spec().GetGang() {
		return false
	}
	for _, member := range task.Job().StepTasks(task) {
		run, found := view.runs[member.Name()]
		if member != task && found && run.isSuspect && run.attempt == member.Attempt() {
			return true
		}
	}
	return false
}

// compareForSuspect compares two workers for a task that may have crashed a worker. The result is
// negative if a is better, and 0 if neither is. Machines where none of the task's runs met a crash are
// better. Otherwise a worker that crashes repeatedly by itself, and is the emptiest one after each
// restart, would make every task that is started there look like the cause.
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
