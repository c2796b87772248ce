package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// sendUpdate sends an agent the next message, if it has any content or a grant is due. Orders that don't fit the message
// wait for the next one.
func (owner *Owner) sendUpdate(view *agentView, now time.Time) {
	if view.conn == nil {
		return
	}
	owner.stopEndedJobs(view, now)
	if !view.claimsSent {
		owner.addShardClaims(view)
	}
	owner.addEvacuations(view)
	message := view.nextMessage
	grantDue := now.Sub(view.sentAt) >= owner.sendInterval()
	if !grantDue && !message.Owned && message.Evacuations == nil && !view.maySendOrders() {
		return
	}
	rest := owner.takeOrders(view, now)
	owner.addEvacuations(view)
	owner.addGrant(view, now)
	owner.addLearned(view, now)
	view.sentSequence++
	message.Sequence = view.sentSequence
	view.nextMessage = rest
	view.sentAt = now
	if view.ackDeadline.IsZero() {
		view.ackDeadline = view.nextAckDeadline(now)
	}
	select {
	case view.conn.outbox <- message:
		owner.traffic.AddOwnerMessage(owner.ctx, message, view.status().GetFailureDomain() == owner.options.FailureDomain)
	default:
		// The agent does not read from the connection, so close it. A new one will be made.
		view.conn.cancel()
	}
	if view.maySendOrders() {
		owner.eventLoop.Wake()
	}
}

// idleSendInterval is how often an owner without shards sends messages to agents. It is short enough for
// either side to notice that the other is gone. In a large deployment most entries own no shards.
const idleSendInterval = 3 * time.Second

// sendInterval returns the longest time between two messages to an agent.
func (owner *Owner) sendInterval() time.Duration {
	if len(owner.shards) == 0 {
		return idleSendInterval
	}
	return grantInterval
}

// addShardClaims adds the shards that are owned and loaded to the next message.
func (owner *Owner) addShardClaims(view *agentView) {
	view.claimsSent = true
	view.nextMessage.Owned = true
	view.nextMessage.Shards = nil
	for number, s := range owner.shards {
		if !s.loaded {
			continue
		}
		view.nextMessage.Shards = append(view.nextMessage.Shards, &wire.ShardEpoch{Shard: int32(number), Epoch: s.epoch})
		if view.claimSequences[number] == 0 {
			view.claimSequences[number] = view.sentSequence + 1
		}
	}
}

// addGrant adds a grant to the next message: until when, on the agent's clock, the agent's runs may
// continue. It adds none if this owner may have been replaced without knowing it, or if the agent has sent
// no message on the connection yet. The agent's clock is the uptime of its process, and the process may
// have been restarted since its last message: a grant by the clock of the previous process would be too
// long by that process's uptime.
func (owner *Owner) addGrant(view *agentView, now time.Time) {
	if !view.receivedOnConn || now.Sub(owner.lastJoinAt) > storeOutageTolerance {
		return
	}
	view.nextMessage.GrantUntilNanos = int64(view.agentUptime + owner.options.GrantDuration)
	grantEnd := view.lastMessageAt.Add(time.Duration(float64(owner.options.GrantDuration) * (1 + maxClockDrift)))
	if grantEnd.After(view.grantEnd) {
		view.grantEnd = grantEnd
	}
}

// addStopOrder adds an order to stop a run to the next message.
func (view *agentView) addStopOrder(s *shard, task string, attempt int32, worker incarnation.ID) {
	view.nextMessage.Stops = append(view.nextMessage.Stops, &wire.StopOrder{
		Shard: int32(s.number), Epoch: s.epoch, Task: task, Attempt: attempt, Worker: worker.WorkerID(), Born: worker.StartedMs(),
	})
}

// stopOnceOwned adds an order to stop a run that goes on, once the store has shown that the run's shard has no later
// owner: that one may want the run to go on.
func (owner *Owner) stopOnceOwned(view *agentView, run *trackedRun) {
	run.shard.afterFlush = append(run.shard.afterFlush, func(now time.Time) {
		switch {
		case view.runs[run.taskName] != run:
		case run.isUnordered():
			owner.releaseRun(view, run, "it was to be stopped before the order", now)
		default:
			view.addStopOrder(run.shard, run.taskName, run.attempt, run.place.Incarnation)
		}
	})
}

// stopRetryInterval is how long after a stop order another one is sent if the run has not ended.
const stopRetryInterval = 500 * time.Millisecond

// isEndStored reports whether the store has the end of a job: its progress or, for a cancelled job, the cancellation
// that ended it.
func (s *shard) isEndStored(j *job.Job) bool {
	_, stored := s.endStoredAt[j.ID()]
	return stored || j.State() == job.State_STATE_CANCELLED
}

// stopEndedJobs adds stop orders for the runs of jobs whose end is in the store, such as by a cancellation.
func (owner *Owner) stopEndedJobs(view *agentView, now time.Time) {
	for _, run := range view.runs {
		if !run.shard.isEndStored(run.task.Job()) || run.isUnordered() || now.Sub(run.stopOrderedAt) < stopRetryInterval {
			continue
		}
		run.stopOrderedAt = now
		owner.logRun(event.RunStopOrdered, run, slog.String("reason", run.task.Job().State().String()))
		view.addStopOrder(run.shard, run.taskName, run.attempt, run.place.Incarnation)
	}
}
