package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

// updateClock takes a reading of the worker's clock that was made before now.
func (state *workerState) updateClock(clock time.Duration, now time.Time) {
	if clock > state.clock {
		state.clock = clock
		state.clockReadAt = now
	}
}

// leaseEnd returns the time on the worker's clock that is surely over by until.
func (state *workerState) leaseEnd(now, until time.Time) time.Duration {
	left := until.Sub(now)
	if state.clock == 0 || left <= 0 {
		return 0
	}
	// The clock has moved on since it was read by no less than this.
	atLeast := state.clock + time.Duration(float64(now.Sub(state.clockReadAt))*(1-maxClockDrift))
	return atLeast + time.Duration(float64(left)*(1-maxClockDrift))
}

// recordLease notes that the worker may run on until a time on its clock.
func (state *workerState) recordLease(leaseEnd time.Duration) {
	lapse := state.clockReadAt.Add(time.Duration(float64(leaseEnd-state.clock) / (1 - maxClockDrift)))
	if lapse.After(state.leaseOverBy) {
		state.leaseOverBy = lapse
	}
}

// leaseLimit returns the time up to which the worker's lease may be renewed.
//
// A run that has ended binds it like one that goes on, until the end is in the store. Its owner may
// not have been told: once the grant is over it takes the run for over and starts the task
// elsewhere, and then the end must not count any more. Only a lease that has run out voids it.
func (agent *Agent) leaseLimit(now time.Time) time.Time {
	until := now.Add(leaseDuration)
	for _, run := range agent.worker.runs {
		until = earlier(until, agent.grantEnd(run.shard))
	}
	return agent.limitByPendingEnds(until)
}

// limitByPendingEnds returns the earliest end of a grant that a run has ended under whose end is not in the
// store, or most if there is none that is earlier.
func (agent *Agent) limitByPendingEnds(most time.Time) time.Time {
	for _, end := range agent.worker.pendingEnds {
		if end.limitsLease() {
			most = earlier(most, agent.grantEnd(end.shard))
		}
	}
	return most
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// voidEnds takes note that the lease has run out: the ends so far bind it no more.
func (agent *Agent) voidEnds(now time.Time) {
	state := agent.worker
	if now.Before(state.leaseOverBy) {
		return
	}
	for _, end := range state.pendingEnds {
		if end.limitsLease() {
			end.isVoid = true
			agent.logRunEnd(event.EndVoid, end.runEnd)
		}
	}
}

// maxLease is for how long a worker may run on at most by this process's clock, whatever it was told: also by a
// lease that was reckoned on the clock of another life, which maxRunWithoutAgent leaves out.
func (agent *Agent) maxLease() time.Duration {
	return time.Duration(float64(max(agent.options.MaxLease, leaseDuration)) * (1 + maxClockDrift))
}

func (agent *Agent) grantEnd(shard int32) time.Time {
	if held, found := agent.claims[shard]; found {
		return held.grantedUntil
	}
	return agent.startedAt
}

// giveUpExpiredRuns ends an incarnation's runs once their lease must have ended.
func (agent *Agent) giveUpExpiredRuns(now time.Time) {
	state := agent.worker
	if state.pollFailures == 0 || now.Before(state.leaseOverBy) || len(state.runs) == 0 {
		return
	}
	for _, run := range state.runs {
		delete(state.runs, run.task)
		if !state.survivedStart(run) {
			state.givenUpRuns = append(state.givenUpRuns, run)
		}
		if run.phase == phaseUnsettled || run.phase == phaseStarting {
			agent.queueResult(state, run, wire.StartOutcome_START_WORKER_FAILED)
			continue
		}
		agent.reportLostRun(state, run)
	}
	// A start that is still on its way must not take effect later.
	state.token++
	state.runsKnown = false
	agent.markStatusChanged()
}

// stopUnownedRuns stops the runs of owners that have been silent until their grant
// is nearly over, so that the lease of the others can be renewed.
func (agent *Agent) stopUnownedRuns(now time.Time) {
	for _, run := range agent.worker.runs {
		if run.phase != phaseRunning {
			continue
		}
		until := agent.grantEnd(run.shard).Add(-stopMargin)
		if least := agent.startedAt.Add(claimTimeout); until.Before(least) {
			// The run was here before this agent: its owner, or a new one,
			// is still to attach and to grant.
			until = least
		}
		if now.Before(until) {
			continue
		}
		agent.logRun(event.RunUnowned, run, slog.Int("shard", int(run.shard)))
		agent.stopRun(agent.worker, run, now)
	}
}
