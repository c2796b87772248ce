package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

// noteClock takes a reading of the worker's clock that was made before now.
func (state *workerState) noteClock(clock time.Duration, now time.Time) {
	if clock > state.clock {
		state.clock = clock
		state.clockAt = now
	}
}

// leaseEnd returns the time on the worker's clock that is surely over by until.
func (state *workerState) leaseEnd(now, until time.Time) time.Duration {
	left := until.Sub(now)
	if state.clock == 0 || left <= 0 {
		return 0
	}
	// The clock has moved on since it was read by no less than this.
	atLeast := state.clock + time.Duration(float64(now.Sub(state.clockAt))*(1-clockSlack))
	return atLeast + time.Duration(float64(left)*(1-clockSlack))
}

// extended notes that the worker may run on until a time on its clock.
func (state *workerState) extended(leaseEnd time.Duration) {
	lapse := state.clockAt.Add(time.Duration(float64(leaseEnd-state.clock) / (1 - clockSlack)))
	if lapse.After(state.lapseBy) {
		state.lapseBy = lapse
	}
}

// leaseUntil returns the time up to which the worker's lease may be renewed.
//
// A run that has ended binds it like one that goes on, until the end is in the store. Its owner may
// not have been told: once the grant is over it takes the run for over and starts the task
// elsewhere, and then the end must not count any more. Only a lease that has run out voids it.
func (agent *Agent) leaseUntil(now time.Time) time.Time {
	until := now.Add(leaseLength)
	for _, run := range agent.worker.runs {
		until = earlier(until, agent.grantOf(run.shard))
	}
	return agent.endsUntil(until)
}

// endsUntil returns the earliest end of a grant that a run has ended under whose end is not in the
// store, or most if there is none that is earlier.
func (agent *Agent) endsUntil(most time.Time) time.Time {
	for _, end := range agent.worker.ends {
		if end.bindsLease() {
			most = earlier(most, agent.grantOf(end.shard))
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
	if now.Before(state.lapseBy) {
		return
	}
	for _, end := range state.ends {
		if end.bindsLease() {
			end.void = true
			agent.logEnd(event.EndVoid, end.told)
		}
	}
}

// longestLease is for how long a worker may run on at most by this process's clock, whatever it was told: also by a
// lease that was reckoned on the clock of another life, which leaseMost leaves out.
func (agent *Agent) longestLease() time.Duration {
	return time.Duration(float64(max(agent.options.LeaseMost, leaseLength)) * (1 + clockSlack))
}

func (agent *Agent) grantOf(shard int32) time.Time {
	if held, found := agent.claims[shard]; found {
		return held.until
	}
	return agent.started
}

// giveUpLost ends an incarnation's runs once their lease must have ended.
func (agent *Agent) giveUpLost(now time.Time) {
	state := agent.worker
	if state.failures == 0 || now.Before(state.lapseBy) || len(state.runs) == 0 {
		return
	}
	for _, run := range state.runs {
		delete(state.runs, run.task)
		if !state.outlived(run) {
			state.givenUp = append(state.givenUp, run)
		}
		if run.phase == phaseUnsettled || run.phase == phaseStarting {
			agent.sendResult(state, run, wire.StartOutcome_START_WORKER_FAILED)
			continue
		}
		agent.tellLost(state, run)
	}
	// A start that is still on its way must not take effect later.
	state.token++
	state.known = false
	agent.statusChanged()
}

// stopUnowned stops the runs of owners that have been silent until their grant
// is nearly over, so that the lease of the others can be renewed.
func (agent *Agent) stopUnowned(now time.Time) {
	for _, run := range agent.worker.runs {
		if run.phase != phaseRunning {
			continue
		}
		until := agent.grantOf(run.shard).Add(-stopBefore)
		if least := agent.started.Add(unclaimedMost); until.Before(least) {
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
