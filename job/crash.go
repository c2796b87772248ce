package job

import (
	"slices"
	"time"
)

// maxCrashes is the number of consecutive runs under which the worker may crash just after the start: at that
// number of crashes, the task fails permanently. Each crash costs everything that the worker runs, and the
// worker itself for seconds.
//
// The limit must spare tasks that are not the cause. They are lost often, since every run on a crashed worker
// is lost with it: where one task crashed its workers, other tasks were lost up to six times. A limit of 2
// made such a task fail when a fifth of the workers crashed about every 3 s.
const maxCrashes = 3

// maxTotalCrashes limits the sum of crashes and ambiguous crashes. A crash is ambiguous if a suspect that
// had just started on the same worker is the more likely cause. An ambiguous crash makes the task a
// suspect as well, and from then on it is not started together with other suspects. So a task that does crash
// its workers has at most one ambiguous crash, and fails at the fourth crash in all. A task that is not the
// cause fails only if it starts just before a crash five times in a row.
const maxTotalCrashes = 5

// Crashes returns the number of runs under which a worker may have crashed because of the task, since the
// last run that survived its start.
func (task *Task) Crashes() int { return len(task.crashedAttempts) }

// AmbiguousCrashes returns the number of runs, since the last one that survived its start, under which a
// worker crashed on which another suspect had just started as well.
func (task *Task) AmbiguousCrashes() int { return len(task.ambiguousAttempts) }

// IsSuspect reports whether a worker may have crashed because of the task.
func (task *Task) IsSuspect() bool { return task.Crashes()+task.AmbiguousCrashes() > 0 }

// HasCrashedWorkerOf reports whether the worker of the agent at an address crashed under a run of the task.
// Only crashes during the current ownership of the shard are known.
func (task *Task) HasCrashedWorkerOf(agentAddress string) bool {
	return slices.Contains(task.crashedAgents, agentAddress)
}

// MarkSurvivedStart records that a run continued after its start. A task that crashes every worker that
// starts it would not have, so crashes up to that run had another cause and no longer count.
func (task *Task) MarkSurvivedStart(attempt int32) {
	task.job.markChanged(task)
	task.survivedAttempt = max(task.survivedAttempt, attempt)
	hasOtherCause := func(crashed int32) bool { return crashed <= task.survivedAttempt }
	task.crashedAttempts = slices.DeleteFunc(task.crashedAttempts, hasOtherCause)
	task.ambiguousAttempts = slices.DeleteFunc(task.ambiguousAttempts, hasOtherCause)
}

// recordCrash records that a worker crashed under a run and may have done so because of it. It reports
// whether anything changed. The crash counts even if it is reported late, after the run was found to be over
// or the next one has started: an owner that takes over the shard may learn of the end of the incarnation
// first.
func (job *Job) recordCrash(task *Task, attempt int32, reason EndReason, now time.Time) bool {
	counts := attempt > task.survivedAttempt && !slices.Contains(task.crashedAttempts, attempt) && !slices.Contains(task.ambiguousAttempts, attempt)
	if counts {
		job.markChanged(task)
	}
	if counts && reason == EndCrashed {
		task.crashedAttempts = append(task.crashedAttempts, attempt)
	}
	if counts && reason == EndCrashedBesideSuspect {
		task.ambiguousAttempts = append(task.ambiguousAttempts, attempt)
	}
	interrupted := attempt == task.attempt && task.state == TaskState_TASK_STARTED
	if interrupted {
		task.crashedAgents = append(task.crashedAgents, task.place.AgentAddress)
		job.recordInterruption(task, now)
		task.retryAt = now.Add(failureBackoff)
	}
	if counts && (task.Crashes() >= maxCrashes || task.Crashes()+task.AmbiguousCrashes() >= maxTotalCrashes) {
		job.failPermanently(task, now)
	}
	return counts || interrupted
}
