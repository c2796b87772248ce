package agent

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

const (
	// statusInterval is the longest time between two messages to an owner that has shards, and until a
	// message of any owner is acknowledged.
	statusInterval = 500 * time.Millisecond
	// runsInterval is how often an owner is sent all its runs, with their checkpoints.
	runsInterval = time.Second
	// idleSendInterval is the longest time between two messages to an owner that has no shards.
	idleSendInterval = 3 * time.Second
	// statusBatchDelay is how long changes of the status are collected before they are sent in one message.
	statusBatchDelay = 15 * time.Millisecond
	// ownerTimeout is how long an owner may be silent before its session is closed. An owner sends a message
	// twice a second, or every 3 s while it owns nothing. A connection may go silent for good without being
	// closed; the owner's next one is a stream of its own.
	ownerTimeout = 5 * time.Second
)

// markStatusChanged has the status of the worker sent to all owners.
func (agent *Agent) markStatusChanged() {
	for s := range agent.sessions {
		s.statusChanged = true
	}
}

// sendUpdates sends each owner the message that is due, and closes the sessions of owners that are silent or
// don't read.
func (agent *Agent) sendUpdates(now time.Time) {
	var status *wire.WorkerStatus
	for s := range agent.sessions {
		if now.Sub(s.lastMessageAt) >= ownerTimeout {
			agent.log(event.ConnectionSilent, slog.String("peer", s.ownerName), slog.Duration("unanswered", now.Sub(s.lastMessageAt)))
			agent.closeSession(s)
			continue
		}
		if !agent.isUpdateDue(s, now) {
			continue
		}
		if status == nil {
			// Performance: the status is built once for all owners, since computing its tolerances goes over
			// all pairs of images.
			status = agent.workerStatus(now)
		}
		message := agent.nextMessage(s, status, now)
		select {
		case s.outbox <- message:
			agent.traffic.AddAgentMessage(agent.ctx, message, s.isSameDomain)
			if agent.isUpdateDue(s, now) {
				agent.eventLoop.Wake()
			}
		default:
			// The owner does not read, so it is considered gone. When it attaches again, it is sent
			// everything.
			agent.closeSession(s)
		}
	}
}

// closeSession closes the stream of an owner.
func (agent *Agent) closeSession(s *session) {
	s.isClosed = true
	delete(agent.sessions, s)
	close(s.closed)
}

// isUpdateDue reports whether a message to the owner is due.
func (agent *Agent) isUpdateDue(s *session, now time.Time) bool {
	if len(s.results) > 0 || len(s.ends) > 0 || len(s.sharedEnds) > 0 || len(s.offers) > 0 || s.fullUpdateDue {
		return true
	}
	since := now.Sub(s.lastSentAt)
	if s.handledSequence > s.acknowledgedSequence && since >= statusInterval {
		return true // Only an acknowledgment shows the owner that the connection works.
	}
	if !agent.ownsShard(s) {
		return since >= idleSendInterval
	}
	return since >= statusInterval || s.statusChanged && since >= statusBatchDelay
}

// ownsShard reports whether the session holds the claim of a shard.
func (agent *Agent) ownsShard(s *session) bool {
	for _, claim := range agent.claims {
		if claim.session == s {
			return true
		}
	}
	return false
}

// maxEndBytes is the size up to which ends and results are added to one message. It arrives within a tenth of a second over
// a link of 10 Mbit/s, while the owner's bound on silence is seconds.
const maxEndBytes = 64 << 10

// takeEnds moves results, ends and offers to a message, as many as fit. The others wait for the next message, which is
// due at once.
func (s *session) takeEnds(message *wire.AgentMessage) {
	space := &wire.Space{Left: maxEndBytes}
	results := space.Fit(len(s.results), func(index int) proto.Message { return s.results[index] })
	message.Results, s.results = s.results[:results:results], s.results[results:]
	ends := space.Fit(len(s.ends), func(index int) proto.Message { return s.ends[index] })
	message.Ends, s.ends = s.ends[:ends:ends], s.ends[ends:]
	shared := space.Fit(len(s.sharedEnds), func(index int) proto.Message { return s.sharedEnds[index] })
	message.SharedEnds, s.sharedEnds = s.sharedEnds[:shared:shared], s.sharedEnds[shared:]
	offers := space.Fit(len(s.offers), func(index int) proto.Message { return s.offers[index] })
	message.Offers, s.offers = s.offers[:offers:offers], s.offers[offers:]
}

// hasUnsentEnds reports whether results or ends of runs wait for the next message.
func (s *session) hasUnsentEnds() bool { return len(s.results)+len(s.ends) > 0 }

// nextMessage returns the next message to an owner, and records its contents as sent.
//
// It lists the runs only together with the last results and ends that wait: an owner takes a run that is not listed, and
// has no end, for lost.
func (agent *Agent) nextMessage(s *session, status *wire.WorkerStatus, now time.Time) *wire.AgentMessage {
	message := &wire.AgentMessage{
		UptimeNanos: int64(agent.uptime(now)), Handled: s.handledSequence,
	}
	s.takeEnds(message)
	if s.lastSentAt.IsZero() || !s.acceptsChanges {
		message.Agent, message.KeepsLearned, message.TellsBegun = agent.agentID, true, true
	}
	if s.acceptsChanges {
		s.statusEncoder.Encode(message, status)
	} else {
		message.Status = status
	}
	if (s.fullUpdateDue || now.Sub(s.runsSentAt) >= runsInterval) && !s.hasUnsentEnds() {
		message.Complete = true
		message.Runs = agent.runStatuses(s)
		if claim, found := agent.claims[job.InterferenceShard]; found && claim.session == s {
			message.Learned = s.changedEstimates(agent.pacer.localEstimates())
		}
		s.runsSentAt, s.fullUpdateDue = now, false
	}
	s.statusChanged = false
	s.lastSentAt, s.acknowledgedSequence = now, s.handledSequence
	return message
}

// runStatuses returns the runs of the owner's shards, and those of shards that no owner has claimed.
func (agent *Agent) runStatuses(s *session) []*wire.RunStatus {
	var listed []*wire.RunStatus
	if agent.worker == nil {
		return nil
	}
	for _, run := range agent.worker.runs {
		if claim, claimed := agent.claims[run.shard]; claimed && claim.session != s {
			continue
		}
		listed = append(listed, &wire.RunStatus{
			Task: run.task, Attempt: run.attempt, Checkpoint: run.checkpoint, Percent: run.progressPercent, Figure: run.reading,
			Begun: run.begun,
		})
	}
	return listed
}

// workerStatus returns the status of the worker for its owners.
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
