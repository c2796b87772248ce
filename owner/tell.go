package owner

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/incarnation"
	"ambertiller.example/ambertiller/wire"
)

// tell sends an agent what it has not been told.
func (owner *Owner) tell(view *agentView, now time.Time) {
	if view.link == nil {
		return
	}
	owner.stopEnded(view, now)
	message := view.message
	if !view.claimed {
		owner.claim(view)
	}
	owner.addEvacuations(view)
	grantDue := now.Sub(view.sentAt) >= owner.speakEvery()
	if !grantDue && !message.Owned && message.Evacuations == nil && len(message.Starts)+len(message.Stops)+len(message.Seen)+len(message.Runs)+len(message.Preempts) == 0 {
		return
	}
	owner.grant(view, now)
	owner.addLearned(view, now)
	view.sequence++
	message.Sequence = view.sequence
	view.message = &wire.OwnerMessage{}
	view.sentAt = now
	if view.answerBy.IsZero() {
		view.answerBy = view.awaitAnswer(now)
	}
	select {
	case view.link.outbox <- message:
		owner.sent.NoteOwner(owner.ctx, message, view.status().GetFailureDomain() == owner.options.FailureDomain)
	default:
		// The agent does not read; the connection is made anew.
		view.link.cancel()
	}
}

// quietEvery is how often an owner without shards speaks to agents: often enough
// that either side notices when the other is gone. In a large deployment most
// gateways own none.
const quietEvery = 3 * time.Second

// speakEvery is how often an agent hears from the owner at least.
func (owner *Owner) speakEvery() time.Duration {
	if len(owner.shards) == 0 {
		return quietEvery
	}
	return grantEvery
}

// claim tells the agent which shards are owned, with the next message.
func (owner *Owner) claim(view *agentView) {
	view.claimed = true
	view.message.Owned = true
	view.message.Shards = nil
	for number, held := range owner.shards {
		if !held.active {
			continue
		}
		view.message.Shards = append(view.message.Shards, &wire.ShardEpoch{Shard: int32(number), Epoch: held.epoch})
		if view.claimSeq[number] == 0 {
			view.claimSeq[number] = view.sequence + 1
		}
	}
}

// grant lets the runs go on, on the agent's clock, unless this owner may have
// been replaced without having heard so. Each process of an agent has a clock of its own: on a
// connection on which it has not spoken yet it may be another one than was heard last, whose
// clock was ahead by all the time that it had been up.
func (owner *Owner) grant(view *agentView, now time.Time) {
	if !view.greeted || now.Sub(owner.joinedAt) > grantAlone {
		return
	}
	view.message.GrantUntilNanos = int64(view.uptime + owner.options.Grant)
	end := view.heardAt.Add(time.Duration(float64(owner.options.Grant) * (1 + clockSlack)))
	if end.After(view.grantEnd) {
		view.grantEnd = end
	}
}

// orderStop has a run stopped with the next message.
func (view *agentView) orderStop(held *shard, task string, attempt int32, worker incarnation.ID) {
	view.message.Stops = append(view.message.Stops, &wire.StopOrder{
		Shard: int32(held.number), Epoch: held.epoch, Task: task, Attempt: attempt, Worker: worker.WorkerID(), Born: worker.StartedMs(),
	})
}

// stopAgain is when a stop whose run has not ended is ordered once more.
const stopAgain = 500 * time.Millisecond

// stopEnded orders stops for the runs of jobs that have ended.
func (owner *Owner) stopEnded(view *agentView, now time.Time) {
	for _, entry := range view.runs {
		if !entry.task.Job().HasEnded() || entry.sequence == 0 && !entry.prior || now.Sub(entry.stopAt) < stopAgain {
			continue
		}
		entry.stopAt = now
		owner.logRun(event.RunStopOrdered, entry, slog.String("reason", entry.task.Job().State().String()))
		view.orderStop(entry.held, entry.name, entry.attempt, entry.place.Incarnation)
	}
}
