package agent

import (
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/platform"
	"ambertiller.example/ambertiller/telemetry"
	"ambertiller.example/ambertiller/wire"
)

// endWaitsAfter is from when on an end that is not in the store yet is logged. Usually that
// takes 20 ms, and 0.9 s where the store is slow.
const endWaitsAfter = time.Second

// numbersPerMilli is how many numbers of ends an agent has for each millisecond: a worker ends some tens of
// runs a second.
const numbersPerMilli = 1 << 20

// firstTold returns what an agent adds to the numbers of the first life that it takes care of. A life's numbers
// begin at 1; those that owners are told begin anew with no life and no process of an agent, whose first fencing
// token is the moment of its start. So a late word on an end of an earlier life, or one that its owner had
// meant for the process before, is about none of those told now. It may come from an owner of an earlier
// build too, which knows of ids alone.
func firstTold(firstToken int64) int64 { return firstToken * numbersPerMilli }

// unkeptEnd is an end that the worker has listed and that is not in the store yet.
type unkeptEnd struct {
	told     *wire.RunEnd
	shard    int32
	listedAt time.Time
	// void is set once the lease has run out since: the platform lets the end not count then.
	void bool
	// logged is set once it was logged that the end waits.
	logged bool
}

// bindsLease reports whether the lease must not go on beyond the grant that the run had.
func (end *unkeptEnd) bindsLease() bool { return !end.void && end.shard != noShard }

// logWaiting logs the ends that have been waiting for long.
func (agent *Agent) logWaiting(now time.Time) {
	for _, end := range agent.worker.ends {
		if end.logged || now.Sub(end.listedAt) < endWaitsAfter {
			continue
		}
		end.logged = true
		owner := ""
		if held, claimed := agent.claims[end.shard]; claimed && agent.owners[held.owner] {
			owner = held.owner.name
		}
		agent.logEnd(event.EndWaits, end.told, slog.String("owner", owner))
	}
}

// logKept logs that an end which was logged as waiting is in the store.
func (agent *Agent) logKept(end *unkeptEnd, now time.Time) {
	if end.logged {
		agent.logEnd(event.EndKept, end.told, slog.Duration("after", now.Sub(end.listedAt)))
	}
}

// logEnd logs what becomes of the end of a run.
func (agent *Agent) logEnd(code event.Code, end *wire.RunEnd, attributes ...slog.Attr) {
	about := []slog.Attr{
		slog.String("task", end.GetTask()), slog.Int("attempt", int(end.GetAttempt())),
		slog.String("how", end.GetReason().String()), slog.Int64("number", end.GetNumber()),
	}
	agent.log(code, append(about, attributes...)...)
}

// noteEnd takes in an end that the worker lists.
func (agent *Agent) noteEnd(state *workerState, end platform.End, now time.Time) {
	if end.Number <= state.listed {
		agent.noteListedAgain(state, end)
		return
	}
	if state.listed == 0 {
		// The worker lists ends in order: it has forgotten those before the
		// first, at the word of an earlier agent.
		state.seen = end.Number - 1
	}
	state.listed = end.Number
	told := &wire.RunEnd{
		Worker: state.life.WorkerID(), Born: state.life.StartedMs(), Number: state.toldAbove + end.Number, Task: end.Task, Attempt: end.Attempt,
		Reason: endReason(end.How), Checkpoint: end.Checkpoint,
	}
	shard := agent.shardOf(end.Task)
	state.ends[end.Number] = &unkeptEnd{told: told, shard: shard, listedAt: now}
	connection := int64(0)
	if run, found := state.runs[end.Task]; found && run.attempt == end.Attempt {
		told.Proven = state.outlived(run)
		connection = run.connection
		delete(state.runs, end.Task)
	}
	agent.log(event.RunEnded, slog.String("task", end.Task), slog.Int("attempt", int(end.Attempt)),
		slog.String("how", string(end.How)), slog.Int64("number", end.Number), slog.Int64("connection", connection))
	agent.meters.ended.Add(agent.ctx, 1, telemetry.By("how", string(end.How)))
	agent.sendEnd(told, shard)
	agent.statusChanged()
}

// noteListedAgain logs an end that the worker lists under the number of another one.
func (agent *Agent) noteListedAgain(state *workerState, end platform.End) {
	known, waits := state.ends[end.Number]
	if !waits || known.told.GetTask() == end.Task && known.told.GetAttempt() == end.Attempt {
		return
	}
	agent.log(event.EndPassedOver, slog.String("task", end.Task), slog.Int("attempt", int(end.Attempt)), slog.Int64("number", end.Number),
		slog.String("known", known.told.GetTask()))
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

// noteSeen lets the worker forget the ends that are durable, in their order.
func (agent *Agent) noteSeen(seen *wire.EndSeen, now time.Time) {
	state := agent.worker
	if state == nil || !state.life.MayEqual(seen.Incarnation()) {
		return
	}
	number := seen.GetNumber() - state.toldAbove
	if number <= state.seen || number > state.listed {
		return
	}
	if end, waited := state.ends[number]; waited {
		agent.logKept(end, now)
	}
	delete(state.ends, number)
	state.durable[number] = true
	for state.durable[state.seen+1] {
		state.seen++
		delete(state.durable, state.seen)
	}
	if len(state.ends) == 0 {
		state.lookAt = now
	}
}

// sendEnd tells an end to the owner of its shard.
func (agent *Agent) sendEnd(end *wire.RunEnd, shard int32) {
	held, claimed := agent.claims[shard]
	if end.GetNumber() == 0 {
		agent.keepLost(end)
	}
	if claimed && agent.owners[held.owner] {
		held.owner.ends = append(held.owner.ends, end)
	}
}

// lostKept bounds the ends that are kept for later owners: a few times what a
// worker runs at once.
const lostKept = 512

// keepLost keeps the end of a run of an incarnation that is over, which no worker
// will list again.
func (agent *Agent) keepLost(end *wire.RunEnd) {
	agent.lost = append(agent.lost, end)
	if len(agent.lost) > lostKept {
		agent.lost = agent.lost[1:]
	}
}

// resendEnds tells a new owner the ends of its shard.
func (agent *Agent) resendEnds(owner *session, shard int32) {
	if agent.worker != nil {
		for _, end := range agent.worker.ends {
			if end.shard == shard {
				owner.ends = append(owner.ends, end.told)
			}
		}
	}
	for _, end := range agent.lost {
		if agent.shardOf(end.GetTask()) == shard {
			owner.ends = append(owner.ends, end)
		}
	}
}
