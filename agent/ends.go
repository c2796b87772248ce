package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// delayedEndThreshold is from when on an end that is not in the store yet is logged. Usually that
// takes 20 ms, and 0.9 s where the store is slow.
const delayedEndThreshold = time.Second

// endNumbersPerMs is how many numbers of ends an agent has for each millisecond: a worker ends some tens of
// runs a second.
const endNumbersPerMs = 1 << 20

// initialEndNumberOffset returns what an agent adds to the numbers of the first life that it takes care of. A life's numbers
// begin at 1; those that owners are told begin anew with no life and no process of an agent, whose first fencing
// token is the moment of its start. So a late word on an end of an earlier life, or one that its owner had
// meant for the process before, is about none of those told now. It may come from an owner of an earlier
// build too, which knows of ids alone.
func initialEndNumberOffset(firstToken int64) int64 { return firstToken * endNumbersPerMs }

// pendingEnd is an end that the worker has listed and that is not in the store yet.
type pendingEnd struct {
	runEnd   *wire.RunEnd
	shard    int32
	listedAt time.Time
	// isVoid is set once the lease has run out since: the platform lets the end not count then.
	isVoid bool
	// delayLogged is set once it was logged that the end waits.
	delayLogged bool
}

// limitsLease reports whether the lease must not go on beyond the grant that the run had.
func (end *pendingEnd) limitsLease() bool { return !end.isVoid && end.shard != unknownShard }

// logDelayedEnds logs the ends that have been waiting for long.
func (agent *Agent) logDelayedEnds(now time.Time) {
	for _, end := range agent.worker.pendingEnds {
		if end.delayLogged || now.Sub(end.listedAt) < delayedEndThreshold {
			continue
		}
		end.delayLogged = true
		owner := ""
		if held, claimed := agent.claims[end.shard]; claimed && agent.sessions[held.session] {
			owner = held.session.ownerName
		}
		agent.logRunEnd(event.EndWaits, end.runEnd, slog.String("owner", owner))
	}
}

// logStoredEnd logs that an end which was logged as waiting is in the store.
func (agent *Agent) logStoredEnd(end *pendingEnd, now time.Time) {
	if end.delayLogged {
		agent.logRunEnd(event.EndKept, end.runEnd, slog.Duration("after", now.Sub(end.listedAt)))
	}
}

// logRunEnd logs what becomes of the end of a run.
func (agent *Agent) logRunEnd(code event.Code, end *wire.RunEnd, attributes ...slog.Attr) {
	about := []slog.Attr{
		slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.String("how", end.GetReason().String()), slog.Int64("number", end.GetNumber()),
	}
	agent.log(code, append(about, attributes...)...)
}

// handleRunEnd takes in an end that the worker lists.
func (agent *Agent) handleRunEnd(state *workerState, end platform.End, now time.Time) {
	if end.Number <= state.lastListedEnd {
		agent.logEndNumberConflict(state, end)
		return
	}
	if state.lastListedEnd == 0 {
		// The worker lists ends in order: it has forgotten those before the
		// first, at the word of an earlier agent.
		state.storedEnd = end.Number - 1
	}
	state.lastListedEnd = end.Number
	told := &wire.RunEnd{
		Worker: state.incarnation.WorkerID(), Born: state.incarnation.StartedMs(), Number: state.endNumberOffset + end.Number, Task: end.Task, Attempt: end.Attempt,
		Reason: endReason(end.How), Checkpoint: end.Checkpoint,
	}
	shard := agent.shardOf(end.Task)
	state.pendingEnds[end.Number] = &pendingEnd{runEnd: told, shard: shard, listedAt: now}
	connection := int64(0)
	if run, found := state.runs[end.Task]; found && run.attempt == end.Attempt {
		told.Proven = state.survivedStart(run)
		connection = run.sessionID
		delete(state.runs, end.Task)
	}
	agent.log(event.RunEnded, slog.String("task", end.Task), slog.Int("attempt", int(end.Attempt)),
		slog.String("how", string(end.How)), slog.Int64("number", end.Number), slog.Int64("connection", connection))
	agent.metrics.runEnds.Add(agent.ctx, 1, telemetry.By("how", string(end.How)))
	agent.queueEnd(told, shard)
	agent.markStatusChanged()
}

// logEndNumberConflict logs an end that the worker lists under the number of another one.
func (agent *Agent) logEndNumberConflict(state *workerState, end platform.End) {
	known, waits := state.pendingEnds[end.Number]
	if !waits || known.runEnd.GetTask() == end.Task && known.runEnd.GetAttempt() == end.Attempt {
		return
	}
	agent.log(event.EndPassedOver, slog.String("task", end.Task), slog.Int("attempt", int(end.Attempt)), slog.Int64("number", end.Number),
		slog.String("known", known.runEnd.GetTask()))
}

func endReason(how platform.EndHow) wire.EndReason {
	reasons := map[platform.EndHow]wire.EndReason{
		platform.EndDone:    wire.EndReason_END_DONE,
		platform.EndFailed:  wire.EndReason_END_FAILED,
		platform.EndStopped: wire.EndReason_END_STOPPED,
		platform.EndLapsed:  wire.EndReason_END_LAPSED,
		platform.EndBroken:  wire.EndReason_END_BROKEN,
		platform.EndAlone:   wire.EndReason_END_ALONE,
	}
	return reasons[how]
}

// handleEndSeen lets the worker forget the ends that are durable, in their order.
func (agent *Agent) handleEndSeen(seen *wire.EndSeen, now time.Time) {
	state := agent.worker
	if state == nil || !state.incarnation.MayEqual(seen.Incarnation()) {
		return
	}
	number := seen.GetNumber() - state.endNumberOffset
	if number <= state.storedEnd || number > state.lastListedEnd {
		return
	}
	if end, waited := state.pendingEnds[number]; waited {
		agent.logStoredEnd(end, now)
	}
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

// queueEnd tells an end to the owner of its shard.
func (agent *Agent) queueEnd(end *wire.RunEnd, shard int32) {
	held, claimed := agent.claims[shard]
	if end.GetNumber() == 0 {
		agent.keepLostEnd(end)
	}
	if claimed && agent.sessions[held.session] {
		held.session.ends = append(held.session.ends, end)
	}
}

// maxLostEnds bounds the ends that are kept for later owners: a few times what a
// worker runs at once.
const maxLostEnds = 512

// keepLostEnd keeps the end of a run of an incarnation that is over, which no worker
// will list again.
func (agent *Agent) keepLostEnd(end *wire.RunEnd) {
	agent.lostEnds = append(agent.lostEnds, end)
	if len(agent.lostEnds) > maxLostEnds {
		agent.lostEnds = agent.lostEnds[1:]
	}
}

// resendEnds tells a new owner the ends of its shard.
func (agent *Agent) resendEnds(owner *session, shard int32) {
	if agent.worker != nil {
		for _, end := range agent.worker.pendingEnds {
			if end.shard == shard {
				owner.ends = append(owner.ends, end.runEnd)
			}
		}
	}
	for _, end := range agent.lostEnds {
		if agent.shardOf(end.GetTask()) == shard {
			owner.ends = append(owner.ends, end)
		}
	}
}
