package agent

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// delayedEndThreshold is the age from which an end that is not in the store yet is logged. Storing an end
// usually takes 20 ms, and 0.9 s if the store is slow.
const delayedEndThreshold = time.Second

// endNumbersPerMs is how many end numbers an agent may use per millisecond that it runs, before it gets to
// those of an agent that starts later. A worker ends only some tens of runs a second.
const endNumbersPerMs = 1 << 20

// initialEndNumberOffset returns the offset that an agent adds to the end numbers of the first incarnation
// that it manages. Each incarnation numbers its ends from 1, but the numbers reported to owners restart
// neither with an incarnation nor with an agent process, since the first fencing token is the time at which
// the process started. A late confirmation of an end of an earlier incarnation, or one that was meant for an
// earlier agent process, therefore matches none of the present ends. It may also come from an owner of an
// earlier build, which identifies workers by their ID alone.
func initialEndNumberOffset(firstToken int64) int64 { return firstToken * endNumbersPerMs }

// pendingEnd is an end that the worker has listed and that is not in the store yet.
type pendingEnd struct {
	runEnd   *wire.RunEnd
	shard    int32
	listedAt time.Time
	// isVoid is set once the lease has expired after the end was listed: the platform ignores the end then.
	isVoid bool
	// isShared is set once all owners were told the end.
	isShared bool
	// delayLogged is set once the delay of the end has been logged.
	delayLogged bool
}

// limitsLease reports whether the lease must not extend beyond the grant for the run.
func (end *pendingEnd) limitsLease() bool { return !end.isVoid && end.shard != unknownShard }

// logDelayedEnds logs the ends that have been pending for longer than delayedEndThreshold, once each.
func (agent *Agent) logDelayedEnds(now time.Time) {
	for _, end := range agent.worker.pendingEnds {
		if end.delayLogged || now.Sub(end.listedAt) < delayedEndThreshold {
			continue
		}
		end.delayLogged = true
		owner := ""
		if claim, claimed := agent.claims[end.shard]; claimed && agent.sessions[claim.session] {
			owner = claim.session.ownerName
		}
		agent.logRunEnd(event.EndWaits, end.runEnd, slog.String("owner", owner))
	}
}

// logStoredEnd logs that an end is in the store if its delay was logged.
func (agent *Agent) logStoredEnd(end *pendingEnd, now time.Time) {
	if end.delayLogged {
		agent.logRunEnd(event.EndKept, end.runEnd, slog.Duration("after", now.Sub(end.listedAt)))
	}
}

// logRunEnd logs an event about the end of a run.
func (agent *Agent) logRunEnd(code event.Code, end *wire.RunEnd, attributes ...slog.Attr) {
	common := []slog.Attr{
		slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.String("how", end.GetReason().String()), slog.Int64("number", end.GetNumber()),
	}
	agent.log(code, append(common, attributes...)...)
}

// handleRunEnd handles an end that the worker lists. A new one is queued for its owner, and pending until it
// is in the store.
func (agent *Agent) handleRunEnd(state *workerState, end platform.End, now time.Time) {
	if end.Number <= state.lastListedEnd {
		agent.logEndNumberConflict(state, end)
		return
	}
	if state.lastListedEnd == 0 {
		// The worker lists ends in order. It has forgotten those before the first one listed, which an
		// earlier agent had confirmed.
		state.storedEnd = end.Number - 1
	}
	state.lastListedEnd = end.Number
	runEnd := &wire.RunEnd{
		Worker: state.incarnation.WorkerID(), Born: state.incarnation.StartedMs(), Number: state.endNumberOffset + end.Number, Task: end.Task, Attempt: end.Attempt,
		Reason: endReason(end.Reason), Checkpoint: end.Checkpoint,
	}
	shard := agent.shardOf(end.Task)
	state.pendingEnds[end.Number] = &pendingEnd{runEnd: runEnd, shard: shard, listedAt: now}
	sessionID := int64(0)
	if run, found := state.runs[end.Task]; found && run.attempt == end.Attempt {
		runEnd.Proven = state.survivedStart(run)
		sessionID = run.sessionID
		delete(state.runs, end.Task)
	}
	agent.log(event.RunEnded, slog.String("task", end.Task), slog.Int("attempt", int(end.Attempt)),
		slog.String("how", string(end.Reason)), slog.Int64("number", end.Number), slog.Int64("connection", sessionID))
	agent.metrics.runEnds.Add(agent.ctx, 1, telemetry.WithAttribute("how", string(end.Reason)))
	agent.queueEnd(runEnd, shard)
	agent.markStatusChanged()
}

// logEndNumberConflict logs an end that the worker lists under the number of another pending end.
func (agent *Agent) logEndNumberConflict(state *workerState, end platform.End) {
	known, pending := state.pendingEnds[end.Number]
	if !pending || known.runEnd.GetTask() == end.Task && known.runEnd.GetAttempt() == end.Attempt {
		return
	}
	agent.log(event.EndPassedOver, slog.String("task", end.Task), slog.Int("attempt", int(end.Attempt)), slog.Int64("number", end.Number),
		slog.String("known", known.runEnd.GetTask()))
}

// endReason converts the way in which a run ended to the reason that is reported to owners.
func endReason(how platform.EndReason) wire.EndReason {
	reasons := map[platform.EndReason]wire.EndReason{
		platform.EndDone:    wire.EndReason_END_DONE,
		platform.EndFailed:  wire.EndReason_END_FAILED,
		platform.EndStopped: wire.EndReason_END_STOPPED,
		platform.EndLapsed:  wire.EndReason_END_LAPSED,
		platform.EndBroken:  wire.EndReason_END_BROKEN,
		platform.EndAlone:   wire.EndReason_END_ALONE,
	}
	return reasons[how]
}

// handleEndSeen handles an owner's confirmation that an end is in the store. The worker may forget the ends
// up to the first one that is not. Only the present owner of the end's shard may confirm it: an earlier one may not
// know of the job, so that nothing of the end is in the store.
func (agent *Agent) handleEndSeen(s *session, seen *wire.EndSeen, now time.Time) {
	state := agent.worker
	if state == nil || !state.incarnation.MayEqual(seen.Incarnation()) {
		return
	}
	number := seen.GetNumber() - state.endNumberOffset
	end, pending := state.pendingEnds[number]
	if !pending {
		return
	}
	if claim, claimed := agent.claims[end.shard]; !claimed || claim.session != s {
		return
	}
	agent.logStoredEnd(end, now)
	agent.keepUnprovenEnd(s, end)
	delete(state.pendingEnds, number)
	state.storedAhead[number] = true
	for state.storedAhead[state.storedEnd+1] {
		state.storedEnd++
		delete(state.storedAhead, state.storedEnd)
	}
	if len(state.pendingEnds) == 0 {
		state.pollAt = now
	}
}

// queueEnd queues an end for the owner of its shard. An end without a number is one of an incarnation that is
// over, and is also kept for later owners.
func (agent *Agent) queueEnd(end *wire.RunEnd, shard int32) {
	claim, claimed := agent.claims[shard]
	if end.GetNumber() == 0 {
		agent.keepLostEnd(end)
		agent.shareEnd(end)
	}
	if claimed && agent.sessions[claim.session] {
		claim.session.ends = append(claim.session.ends, end)
	}
}

// keepUnprovenEnd keeps an end for the next owner of its shard if the owner that confirms it may have been replaced.
// The worker forgets the end, so that the next owner would otherwise consider the run lost and start its task again.
func (agent *Agent) keepUnprovenEnd(s *session, end *pendingEnd) {
	if s.provesOwnership {
		return
	}
	agent.keepLostEnd(end.withoutNumber())
}

// withoutNumber returns the end for an owner that need not confirm it, since no worker waits for that any more.
func (end *pendingEnd) withoutNumber() *wire.RunEnd {
	unnumbered := proto.CloneOf(end.runEnd)
	unnumbered.Number = 0
	return unnumbered
}

// maxLostEnds limits the ends that are kept for later owners, to a few times the number of runs that a worker
// has at once.
const maxLostEnds = 512

// keepLostEnd keeps an end of an incarnation that is over, which no worker will list again.
func (agent *Agent) keepLostEnd(end *wire.RunEnd) {
	agent.lostEnds = append(agent.lostEnds, end)
	if len(agent.lostEnds) > maxLostEnds {
		agent.lostEnds = agent.lostEnds[1:]
	}
}

// resendEnds queues the ends of a shard for its new owner.
func (agent *Agent) resendEnds(s *session, shard int32) {
	if agent.worker != nil {
		for _, end := range agent.worker.pendingEnds {
			if end.shard == shard {
				s.ends = append(s.ends, end.runEnd)
			}
		}
	}
	for _, end := range agent.lostEnds {
		if agent.shardOf(end.GetTask()) == shard {
			s.ends = append(s.ends, end)
		}
	}
}
