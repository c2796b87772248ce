package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

const (
	// statusInterval is how often an owner hears from the agent at least, and how soon each
	// message of any owner is answered.
	statusInterval = 500 * time.Millisecond
	// runsInterval is how often the owner is told all runs, with checkpoints.
	runsInterval = time.Second
	// idleSendInterval is the same for an owner without shards.
	idleSendInterval = 3 * time.Second
	// statusBatchDelay gathers changes of the room into one message.
	statusBatchDelay = 15 * time.Millisecond
	// ownerTimeout is how long an owner may be silent, which speaks twice a second, or
	// each 3 s while it owns nothing: a connection may go silent for good without an
	// end, and the owner's next one is a stream of its own.
	ownerTimeout = 5 * time.Second
)

// markStatusChanged has all owners told what is free.
func (agent *Agent) markStatusChanged() {
	for owner := range agent.sessions {
		owner.statusChanged = true
	}
}

// sendUpdates sends each owner what it has not been told.
func (agent *Agent) sendUpdates(now time.Time) {
	var status *wire.WorkerStatus
	for owner := range agent.sessions {
		if now.Sub(owner.lastMessageAt) >= ownerTimeout {
			agent.log(event.ConnectionSilent, slog.String("peer", owner.ownerName), slog.Duration("unanswered", now.Sub(owner.lastMessageAt)))
			agent.closeSession(owner)
			continue
		}
		if !agent.isUpdateDue(owner, now) {
			continue
		}
		if status == nil {
			// Performance: it is the same for all owners, and its tolerances
			// go over all pairs of images.
			status = agent.workerStatus(now)
		}
		message := agent.nextMessage(owner, status, now)
		select {
		case owner.outbox <- message:
			agent.traffic.NoteAgent(agent.ctx, message, owner.isSameDomain)
		default:
			// The owner does not read: it is as good as gone. It attaches
			// anew and is told everything.
			agent.closeSession(owner)
		}
	}
}

// closeSession ends an owner's stream.
func (agent *Agent) closeSession(owner *session) {
	owner.isClosed = true
	delete(agent.sessions, owner)
	close(owner.closed)
}

func (agent *Agent) isUpdateDue(owner *session, now time.Time) bool {
	if len(owner.results) > 0 || len(owner.ends) > 0 || owner.fullUpdateDue {
		return true
	}
	since := now.Sub(owner.lastSentAt)
	if owner.handledSequence > owner.acknowledgedSequence && since >= statusInterval {
		return true // Only an answer proves to it that the connection is sound.
	}
	if !agent.ownsShard(owner) {
		return since >= idleSendInterval
	}
	return since >= statusInterval || owner.statusChanged && since >= statusBatchDelay
}

// ownsShard reports whether an owner has claimed a shard.
func (agent *Agent) ownsShard(owner *session) bool {
	for _, held := range agent.claims {
		if held.session == owner {
			return true
		}
	}
	return false
}

func (agent *Agent) nextMessage(owner *session, of *wire.WorkerStatus, now time.Time) *wire.AgentMessage {
	message := &wire.AgentMessage{
		UptimeNanos: int64(agent.uptime(now)), Results: owner.results, Ends: owner.ends, Handled: owner.handledSequence,
	}
	if owner.lastSentAt.IsZero() || !owner.acceptsChanges {
		message.Agent, message.KeepsLearned = agent.agentID, true
	}
	if owner.acceptsChanges {
		owner.statusEncoder.Encode(message, of)
	} else {
		message.Status = of
	}
	if owner.fullUpdateDue || now.Sub(owner.runsSentAt) >= runsInterval {
		message.Complete = true
		message.Runs = agent.runStatuses(owner)
		if held, found := agent.claims[job.InterferenceShard]; found && held.session == owner {
			message.Learned = owner.changedEstimates(agent.pacer.localEstimates())
		}
		owner.runsSentAt = now
	}
	owner.results, owner.ends = nil, nil
	owner.statusChanged, owner.fullUpdateDue = false, false
	owner.lastSentAt, owner.acknowledgedSequence = now, owner.handledSequence
	return message
}

// runStatuses lists the runs of the owner's shards, and those that nobody owns.
func (agent *Agent) runStatuses(owner *session) []*wire.RunStatus {
	var listed []*wire.RunStatus
	if agent.worker == nil {
		return nil
	}
	for _, run := range agent.worker.runs {
		if held, claimed := agent.claims[run.shard]; claimed && held.session != owner {
			continue
		}
		listed = append(listed, &wire.RunStatus{
			Task: run.task, Attempt: run.attempt, Checkpoint: run.checkpoint, Percent: run.progressPercent, Figure: run.reading,
		})
	}
	return listed
}

func (agent *Agent) workerStatus(now time.Time) *wire.WorkerStatus {
	state := agent.worker
	if state == nil {
		return &wire.WorkerStatus{Accounted: agent.uptime(now) >= agent.maxLease()}
	}
	free := state.freeResources()
	status := &wire.WorkerStatus{
		Worker: state.incarnation.WorkerID(), Born: state.incarnation.StartedMs(), Service: state.heartbeat.Service, FailureDomain: state.heartbeat.FailureDomain,
		Labels: state.heartbeat.Labels, Machine: state.heartbeat.Machine,
		MilliCpu: state.heartbeat.MilliCPU, MemoryMb: state.heartbeat.MemoryMB, Accelerators: state.heartbeat.Accelerators,
		Draining: state.heartbeat.Draining, RemainingMs: state.heartbeat.Remaining.Milliseconds(),
		FreeMilliCpu: free.MilliCPU, FreeMemoryMb: free.MemoryMB(), FreeAccelerators: free.Accelerators,
		FillMilliCpu: free.fillMilliCPU, ServingMilliCpu: free.servingMilliCPU, Ready: state.isReady(), Accounted: state.knowsAllRuns(now),
		Reclaimable: state.reclaimable(),
	}
	agent.addTolerances(state, status, now)
	return status
}
