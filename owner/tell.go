package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/wire"
)

// sendUpdate sends an agent what it has not been told.
func (owner *Owner) sendUpdate(view *agentView, now time.Time) {
	if view.conn == nil {
		return
	}
	owner.stopEndedJobs(view, now)
	message := view.nextMessage
	if !view.claimsSent {
		owner.addShardClaims(view)
	}
	owner.addEvacuations(view)
	grantDue := now.Sub(view.sentAt) >= owner.sendInterval()
	if !grantDue && !message.Owned && message.Evacuations == nil && len(message.Starts)+len(message.Stops)+len(message.Seen)+len(message.Runs)+len(message.Preempts) == 0 {
		return
	}
	owner.addGrant(view, now)
	owner.addLearned(view, now)
	view.sentSequence++
	message.Sequence = view.sentSequence
	view.nextMessage = &wire.OwnerMessage{}
	view.sentAt = now
	if view.ackDeadline.IsZero() {
		view.ackDeadline = view.nextAckDeadline(now)
	}
	select {
	case view.conn.outbox <- message:
		owner.traffic.NoteOwner(owner.ctx, message, view.status().GetFailureDomain() == owner.options.FailureDomain)
	default:
		// The agent does not read; the connection is made anew.
		view.conn.cancel()
	}
}

// idleSendInterval is how often an owner without shards speaks to agents: often enough
// that either side notices when the other is gone. In a large deployment most
// gateways own none.
const idleSendInterval = 3 * time.Second

// sendInterval is how often an agent hears from the owner at least.
func (owner *Owner) sendInterval() time.Duration {
	if len(owner.shards) == 0 {
		return idleSendInterval
	}
	return grantInterval
}

// addShardClaims tells the agent which shards are owned, with the next message.
func (owner *Owner) addShardClaims(view *agentView) {
	view.claimsSent = true
	view.nextMessage.Owned = true
	view.nextMessage.Shards = nil
	for number, held := range owner.shards {
		if !held.loaded {
			continue
		}
		view.nextMessage.Shards = append(view.nextMessage.Shards, &wire.ShardEpoch{Shard: int32(number), Epoch: held.epoch})
		if view.claimSequences[number] == 0 {
			view.claimSequences[number] = view.sentSequence + 1
		}
	}
}

// addGrant lets the runs go on, on the agent's clock, unless this owner may have
// been replaced without having heard so. Each process of an agent has a clock of its own: on a
// connection on which it has not spoken yet it may be another one than was heard last, whose
// clock was ahead by all the time that it had been up.
func (owner *Owner) addGrant(view *agentView, now time.Time) {
	if !view.receivedOnConn || now.Sub(owner.lastJoinAt) > storeOutageTolerance {
		return
	}
	view.nextMessage.GrantUntilNanos = int64(view.agentUptime + owner.options.GrantDuration)
	end := view.lastMessageAt.Add(time.Duration(float64(owner.options.GrantDuration) * (1 + maxClockDrift)))
	if end.After(view.grantEnd) {
		view.grantEnd = end
	}
}

// addStopOrder has a run stopped with the next message.
func (view *agentView) addStopOrder(held *shard, task string, attempt int32, worker incarnation.ID) {
	view.nextMessage.Stops = append(view.nextMessage.Stops, &wire.StopOrder{
		Shard: int32(held.number), Epoch: held.epoch, Task: task, Attempt: attempt, Worker: worker.WorkerID(), Born: worker.StartedMs(),
	})
}

// stopRetryInterval is when a stop whose run has not ended is ordered once more.
const stopRetryInterval = 500 * time.Millisecond

// stopEndedJobs orders stops for the runs of jobs that have ended.
func (owner *Owner) stopEndedJobs(view *agentView, now time.Time) {
	for _, entry := range view.runs {
		if !entry.task.Job().HasEnded() || entry.orderSequence == 0 && !entry.orderedEarlier || now.Sub(entry.stopOrderedAt) < stopRetryInterval {
			continue
		}
		entry.stopOrderedAt = now
		owner.logRun(event.RunStopOrdered, entry, slog.String("reason", entry.task.Job().State().String()))
		view.addStopOrder(entry.shard, entry.taskName, entry.attempt, entry.place.Incarnation)
	}
}
