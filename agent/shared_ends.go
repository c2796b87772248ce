package agent

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/wire"
)

// sharePendingEnds tells all owners the pending ends that this process may not be there to report to a later owner.
func (agent *Agent) sharePendingEnds(now time.Time) {
	state := agent.worker
	for _, end := range state.pendingEnds {
		isDue := state.mayBeGoneSoon() || now.Sub(end.listedAt) >= delayedEndThreshold
		if !isDue || end.isShared || end.isVoid {
			continue
		}
		end.isShared = true
		agent.shareEnd(end.runEnd)
	}
}

// mayBeGoneSoon reports whether the worker, and its machine with it, may be gone soon or is gone already.
func (state *workerState) mayBeGoneSoon() bool {
	return state.heartbeat.Draining || !state.isAnswering()
}

// shareEnd tells all owners an end, also the present one of its shard: it may lose the shard and get it back.
func (agent *Agent) shareEnd(end *wire.RunEnd) {
	for s := range agent.sessions {
		s.sharedEnds = append(s.sharedEnds, end)
	}
	agent.logRunEnd(event.EndShared, end, slog.Int("owners", len(agent.sessions)))
}

// sharedPendingEnds returns the pending ends that were shared, for an owner that has just connected.
func (agent *Agent) sharedPendingEnds() []*wire.RunEnd {
	if agent.worker == nil {
		return nil
	}
	var ends []*wire.RunEnd
	for _, end := range agent.worker.pendingEnds {
		if end.isShared {
			ends = append(ends, end.runEnd)
		}
	}
	return ends
}

// endsCheckInterval is how often a stopping agent checks whether its ends are in the store.
const endsCheckInterval = 50 * time.Millisecond

// AwaitEndsStored waits until the store has what only this process can report: the ends of the runs of a worker that is
// gone, and that it is over. The next agent on the machine asks the worker instead, so there is no wait while that answers.
// It returns when ctx ends at the latest.
func (agent *Agent) AwaitEndsStored(ctx context.Context) {
	for {
		unstored := false
		if !agent.eventLoop.Call(ctx, func(time.Time) { unstored = agent.hasUnstoredEnds() }) {
			agent.options.Events.Log(context.WithoutCancel(ctx), event.EndsLeftBehind)
			return
		}
		if !unstored {
			return
		}
		agent.sleep(ctx, endsCheckInterval)
	}
}

// hasUnstoredEnds reports whether AwaitEndsStored has to wait. The runs of a worker that does not answer end with its
// lease, and are then reported.
func (agent *Agent) hasUnstoredEnds() bool {
	for s := range agent.sessions {
		if len(s.sharedEnds) > 0 {
			return true
		}
	}
	state := agent.worker
	return agent.registrationDue || state != nil && !state.isAnswering() && len(state.pendingEnds)+len(state.runs) > 0
}
