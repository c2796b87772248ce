package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

// updateClock records a reading of the worker's clock, which was taken before now. Readings that arrive out
// of order are ignored.
func (state *workerState) updateClock(clock time.Duration, now time.Time) {
	if clock > state.clock {
		state.clock = clock
		state.clockReadAt = now
	}
}

// leaseEnd converts until to the worker's clock: it returns a reading that the worker's clock reaches by then
// even if it runs slow by maxClockDrift. It returns 0 while the worker's clock is unknown, or if until has
// passed.
func (state *workerState) leaseEnd(now, until time.Time) time.Duration {
	left := until.Sub(now)
	if state.clock == 0 || left <= 0 {
		return 0
	}
	minClock := state.clock + time.Duration(float64(now.Sub(state.clockReadAt))*(1-maxClockDrift))
	return minClock + time.Duration(float64(left)*(1-maxClockDrift))
}

// recordLease updates leaseOverBy for a lease that ends at leaseEnd on the worker's clock, which may run slow
// by maxClockDrift.
func (state *workerState) recordLease(leaseEnd time.Duration) {
	overBy := state.clockReadAt.Add(time.Duration(float64(leaseEnd-state.clock) / (1 - maxClockDrift)))
	if overBy.After(state.leaseOverBy) {
		state.leaseOverBy = overBy
	}
}

// leaseLimit returns the time up to which the worker's lease may be renewed: no longer than the grant of any
// owner with runs on the worker.
//
// Until the end of a run is in the store, the run limits the lease as if it still ran. Its owner may not know
// of the end: when its grant is over, it considers the run lost and starts the task elsewhere, and
// from then on the end must not count. The platform ignores an end only if the lease has expired since.
func (agent *Agent) leaseLimit(now time.Time) time.Time {
	until := now.Add(leaseDuration)
	for _, run := range agent.worker.runs {
		until = earlier(until, agent.grantEnd(run.shard))
	}
	return agent.limitByPendingEnds(until)
}

// limitByPendingEnds returns until, or the earliest end of the grants of runs whose ends are not in the store
// yet, if that is earlier.
func (agent *Agent) limitByPendingEnds(until time.Time) time.Time {
	for _, end := range agent.worker.pendingEnds {
		if end.limitsLease() {
			until = earlier(until, agent.grantEnd(end.shard))
		}
	}
	return until
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// voidEnds marks the pending ends as void once the lease has expired: the platform ignores them from then on,
// so they no longer limit the lease.
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

// maxLease returns the longest time, on this process's clock, for which a worker may run without a renewal,
// whatever lease it was given. Unlike maxRunWithoutAgent, it covers a lease that was computed for the clock
// of another incarnation.
func (agent *Agent) maxLease() time.Duration {
	return time.Duration(float64(max(agent.options.MaxLease, leaseDuration)) * (1 + maxClockDrift))
}

// grantEnd returns the end of the last grant for a shard, or the agent's start if there was none.
func (agent *Agent) grantEnd(shard int32) time.Time {
	if claim, found := agent.claims[shard]; found {
		return claim.grantedUntil
	}
	return agent.startedAt
}

// giveUpExpiredRuns reports the runs of a worker that does not answer as lost, once its lease has certainly
// expired.
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
	// A start that is still in transit must not take effect later.
	state.token++
	state.runsKnown = false
	agent.markStatusChanged()
}

// stopUnownedRuns stops the runs of owners whose grant is nearly over, so that the lease can still be renewed
// for the runs of other owners.
func (agent *Agent) stopUnownedRuns(now time.Time) {
	for _, run := range agent.worker.runs {
		if run.phase != phaseRunning {
			continue
		}
		stopAt := agent.grantEnd(run.shard).Add(-stopMargin)
		if earliest := agent.startedAt.Add(claimTimeout); stopAt.Before(earliest) {
			// The run is older than this agent process: its owner, or a new one, has yet to attach and
			// to grant time.
			stopAt = earliest
		}
		if now.Before(stopAt) {
			continue
		}
		agent.logRun(event.RunUnowned, run, slog.Int("shard", int(run.shard)))
		agent.stopRun(agent.worker, run, now)
	}
}
