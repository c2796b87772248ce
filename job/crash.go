package job

import (
	"slices"
	"time"
)

const (
	// maxCrashes is the number of consecutive runs under which the worker may crash just after the start: at that
	// number of crashes, the task fails permanently if they were at minCrashedAgents machines. Each crash costs everything
	// that the worker runs, and the worker itself for seconds.
	//
	// The limit must spare tasks that are not the cause. They are lost often, since every run on a crashed worker
	// is lost with it: where one task crashed its workers, other tasks were lost up to six times. A limit of 2
	// made such a task fail when a fifth of the workers crashed about every 3 s.
	maxCrashes = 3
	// maxTotalCrashes limits the sum of crashes and ambiguous crashes. A crash is ambiguous if a suspect that
	// had just started on the same worker is the more likely cause. An ambiguous crash makes the task a
	// suspect as well, and from then on it is not started together with other suspects. So a task that does crash
	// its workers has at most one ambiguous crash, and fails at the fourth crash in all. A task that is not the
	// cause fails only if it starts just before a crash five times in a row.
	maxTotalCrashes = 5
	// minCrashedAgents is the number of different machines whose workers must have crashed under a task before it fails
	// permanently. Crashes at a single machine don't tell a task that crashes workers from a worker that crashes by itself.
	minCrashedAgents = 2
)

const (
	// singleWorkerDelay is the delay before the next try of a task with maxCrashes crashes that were all at one machine.
	// Each further crash doubles it, up to maxSingleWorkerDelay: a try may cost all that the worker runs, but a job must not
	// be without progress for seconds after its only worker has come back for good.
	singleWorkerDelay    = time.Second
	maxSingleWorkerDelay = 4 * time.Second
)

// crash is a crash of the worker under a run.
type crash struct {
	attempt int32
	// agentAddress is the address of the agent beside the worker, or "" if it is not known.
	agentAddress string
}

// encodeCrashes returns crashes as stored.
func encodeCrashes(crashes []crash) (attempts []int32, agents []string) {
	for _, crash := range crashes {
		attempts = append(attempts, crash.attempt)
		agents = append(agents, crash.agentAddress)
	}
	return attempts, agents
}

// decodeCrashes returns stored crashes. Records of earlier builds have no agents.
func decodeCrashes(attempts []int32, agents []string) []crash {
	var crashes []crash
	for index, attempt := range attempts {
		address := ""
		if index < len(agents) {
			address = agents[index]
		}
		crashes = append(crashes, crash{attempt, address})
	}
	return crashes
}

// isOfAttempt returns a function that reports whether a crash was that of an attempt.
func isOfAttempt(attempt int32) func(crash crash) bool {
	return func(crash crash) bool { return crash.attempt == attempt }
}

// Crashes returns the number of runs under which a worker may have crashed because of the task, since the
// last run that survived its start.
func (task *Task) Crashes() int { return len(task.crashes) }

// AmbiguousCrashes returns the number of runs, since the last one that survived its start, under which a
// worker crashed on which another suspect had just started as well.
func (task *Task) AmbiguousCrashes() int { return len(task.ambiguousCrashes) }

// IsSuspect reports whether a worker may have crashed because of the task.
func (task *Task) IsSuspect() bool { return task.totalCrashes() > 0 }

func (task *Task) totalCrashes() int { return task.Crashes() + task.AmbiguousCrashes() }

// crashedAtSeveral reports whether the crashes were at minCrashedAgents machines. Each crash whose machine is not known
// counts as at another one.
func (task *Task) crashedAtSeveral() bool {
	known, unknown := map[string]bool{}, 0
	for _, crash := range slices.Concat(task.crashes, task.ambiguousCrashes) {
		if crash.agentAddress == "" {
			unknown++
			continue
		}
		known[crash.agentAddress] = true
	}
	return len(known)+unknown >= minCrashedAgents
}

// crashesWorkers reports whether the task has enough crashes, at enough machines, to be given up.
func (task *Task) crashesWorkers() bool {
	return (task.Crashes() >= maxCrashes || task.totalCrashes() >= maxTotalCrashes) && task.crashedAtSeveral()
}

// crashDelay returns the delay before a task whose worker has crashed is started again.
func (task *Task) crashDelay() time.Duration {
	excess := task.totalCrashes() - maxCrashes
	if excess < 0 || task.crashedAtSeveral() {
		return failureBackoff
	}
	delay := singleWorkerDelay
	for range excess {
		delay = min(2*delay, maxSingleWorkerDelay)
	}
	return delay
}

// HasCrashedWorkerOf reports whether the worker of the agent at an address crashed under a run of the task. Crashes that
// count no longer are known only during the current ownership of the shard.
func (task *Task) HasCrashedWorkerOf(agentAddress string) bool {
	return slices.Contains(task.crashedAgents, agentAddress)
}

// MarkSurvivedStart records that a run continued after its start. A task that crashes every worker that
// starts it would not have, so crashes up to that run had another cause and no longer count.
func (task *Task) MarkSurvivedStart(attempt int32) {
	if attempt <= task.survivedAttempt {
		return
	}
	task.job.markChanged(task)
	task.survivedAttempt = attempt
	hasOtherCause := func(crash crash) bool { return crash.attempt <= task.survivedAttempt }
	task.crashes = slices.DeleteFunc(task.crashes, hasOtherCause)
	task.ambiguousCrashes = slices.DeleteFunc(task.ambiguousCrashes, hasOtherCause)
}

// recordCrash records that a worker crashed under a run and may have done so because of it. It reports
// whether anything changed. The crash counts even if it is reported late, after the run was found to be over
// or the next one has started: an owner that takes over the shard may learn of the end of the incarnation
// first.
func (job *Job) recordCrash(task *Task, attempt int32, reason EndReason, now time.Time) bool {
	counts := attempt > task.survivedAttempt &&
		!slices.ContainsFunc(task.crashes, isOfAttempt(attempt)) && !slices.ContainsFunc(task.ambiguousCrashes, isOfAttempt(attempt))
	if counts {
		job.markChanged(task)
		task.addCrash(attempt, reason)
	}
	interrupted := attempt == task.attempt && task.state == TaskState_TASK_STARTED
	if interrupted {
		task.crashedAgents = append(task.crashedAgents, task.place.AgentAddress)
		job.recordInterruption(task, now)
		task.retryAt = now.Add(task.crashDelay())
	}
	if counts && task.crashesWorkers() {
		job.failPermanently(task, now)
	}
	return counts || interrupted
}

// addCrash adds a crash under a run. Its machine is known only if no later run has been started.
func (task *Task) addCrash(attempt int32, reason EndReason) {
	added := crash{attempt: attempt}
	if attempt == task.attempt {
		added.agentAddress = task.place.AgentAddress
	}
	if reason == EndCrashedBesideSuspect {
		task.ambiguousCrashes = append(task.ambiguousCrashes, added)
		return
	}
	task.crashes = append(task.crashes, added)
}
