package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

const (
	// statusEvery is how often an owner hears from the agent at least, and how soon each
	// message of any owner is answered.
	statusEvery = 500 * time.Millisecond
	// runsEvery is how often the owner is told all runs, with checkpoints.
	runsEvery = time.Second
	// quietEvery is the same for an owner without shards.
	quietEvery = 3 * time.Second
	// statusSettle gathers changes of the room into one message.
	statusSettle = 15 * time.Millisecond
	// silentAfter is how long an owner may be silent, which speaks twice a second, or
	// each 3 s while it owns nothing: a connection may go silent for good without an
	// end, and the owner's next one is a stream of its own.
	silentAfter = 5 * time.Second
)

// statusChanged has all owners told what is free.
func (agent *Agent) statusChanged() {
	for owner := range agent.owners {
		owner.changed = true
	}
}

// tellOwners sends each owner what it has not been told.
func (agent *Agent) tellOwners(now time.Time) {
	var status *wire.WorkerStatus
	for owner := range agent.owners {
		if now.Sub(owner.heardAt) >= silentAfter {
			agent.log(event.ConnectionSilent, slog.String("peer", owner.name), slog.Duration("unanswered", now.Sub(owner.heardAt)))
			agent.drop(owner)
			continue
		}
		if !agent.due(owner, now) {
			continue
		}
		if status == nil {
			// Performance: it is the same for all owners, and its tolerances
			// go over all pairs of images.
			status = agent.status(now)
		}
		message := agent.message(owner, status, now)
		select {
		case owner.outbox <- message:
			agent.sent.NoteAgent(agent.ctx, message, owner.near)
		default:
			// The owner does not read: it is as good as gone. It attaches
			// anew and is told everything.
			agent.drop(owner)
		}
	}
}

// drop ends an owner's stream.
func (agent *Agent) drop(owner *session) {
	owner.ended = true
	delete(agent.owners, owner)
	close(owner.closed)
}

func (agent *Agent) due(owner *session, now time.Time) bool {
	if len(owner.results) > 0 || len(owner.ends) > 0 || owner.wholeDue {
		return true
	}
	since := now.Sub(owner.sentAt)
	if owner.handled > owner.answered && since >= statusEvery {
		return true // Only an answer proves to it that the connection is sound.
	}
	if !agent.ownsAny(owner) {
		return since >= quietEvery
	}
	return since >= statusEvery || owner.changed && since >= statusSettle
}

// ownsAny reports whether an owner has claimed a shard.
func (agent *Agent) ownsAny(owner *session) bool {
	for _, held := range agent.claims {
		if held.owner == owner {
			return true
		}
	}
	return false
}

func (agent *Agent) message(owner *session, of *wire.WorkerStatus, now time.Time) *wire.AgentMessage {
	message := &wire.AgentMessage{
		UptimeNanos: int64(agent.uptime(now)), Results: owner.results, Ends: owner.ends, Handled: owner.handled,
	}
	if owner.sentAt.IsZero() || !owner.takesChanges {
		message.Agent, message.KeepsLearned = agent.id, true
	}
	if owner.takesChanges {
		owner.told.Encode(message, of)
	} else {
		message.Status = of
	}
	if owner.wholeDue || now.Sub(owner.runsSent) >= runsEvery {
		message.Complete = true
		message.Runs = agent.runStatus(owner)
		if held, found := agent.claims[job.InterferenceShard]; found && held.owner == owner {
			message.Learned = owner.learnedAnew(agent.paced.learned())
		}
		owner.runsSent = now
	}
	owner.results, owner.ends = nil, nil
	owner.changed, owner.wholeDue = false, false
	owner.sentAt, owner.answered = now, owner.handled
	return message
}

// runStatus lists the runs of the owner's shards, and those that nobody owns.
func (agent *Agent) runStatus(owner *session) []*wire.RunStatus {
	var listed []*wire.RunStatus
	if agent.worker == nil {
		return nil
	}
	for _, run := range agent.worker.runs {
		if held, claimed := agent.claims[run.shard]; claimed && held.owner != owner {
			continue
		}
		listed = append(listed, &wire.RunStatus{
			Task: run.task, Attempt: run.attempt, Checkpoint: run.checkpoint, Percent: run.percent, Figure: run.figure,
		})
	}
	return listed
}

func (agent *Agent) status(now time.Time) *wire.WorkerStatus {
	state := agent.worker
	if state == nil {
		return &wire.WorkerStatus{Accounted: agent.uptime(now) >= agent.longestLease()}
	}
	free := state.room()
	status := &wire.WorkerStatus{
		Worker: state.life.WorkerID(), Born: state.life.StartedMs(), Service: state.beat.Service, FailureDomain: state.beat.FailureDomain,
		Labels: state.beat.Labels, Machine: state.beat.Machine,
		MilliCpu: state.beat.MilliCPU, MemoryMb: state.beat.MemoryMB, Accelerators: state.beat.Accelerators,
		Draining: state.beat.Draining, RemainingMs: state.beat.Remaining.Milliseconds(),
		FreeMilliCpu: free.MilliCPU, FreeMemoryMb: free.MemoryMB(), FreeAccelerators: free.Accelerators,
		FillMilliCpu: free.fillMilliCPU, ServingMilliCpu: free.servingMilliCPU, Ready: state.ready(), Accounted: state.accounted(now),
		Reclaimable: state.reclaimable(),
	}
	agent.tolerances(state, status, now)
	return status
}
