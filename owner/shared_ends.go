package owner

import (
	"log/slog"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

const (
	// sharedEndRetention is how long an end that an agent has shared is kept. After an outage of the store that is
	// longer, all grants have expired, and runs are released for that.
	sharedEndRetention = time.Minute
	// maxSharedEnds limits the ends that are kept of one agent, to a few times the number of runs that a worker has at
	// once.
	maxSharedEnds = 512
)

// sharedEnd is the end of a run that an agent has told all owners. This entry applies it if it becomes the owner of its
// shard, whether or not the agent is still there. The agent reports it to the owner of the shard too, which confirms it.
type sharedEnd struct {
	end        *wire.RunEnd
	ref        job.TaskRef
	receivedAt time.Time
}

// receiveSharedEnds keeps the ends that an agent has shared, and applies those of shards that this entry owns already:
// the agent may not have received the claim of the shard.
func (owner *Owner) receiveSharedEnds(view *agentView, ends []*wire.RunEnd, now time.Time) {
	for _, end := range ends {
		ref, valid := owner.parseTask(end.GetTask())
		if !valid {
			continue
		}
		view.sharedEnds = append(view.sharedEnds, sharedEnd{end: end, ref: ref, receivedAt: now})
		owner.applyRunEnd(view, ref, end, now)
	}
	if excess := len(view.sharedEnds) - maxSharedEnds; excess > 0 {
		view.sharedEnds = slices.Delete(view.sharedEnds, 0, excess)
	}
}

// applySharedEnds applies the ends that agents have shared to the jobs of a shard that has just been loaded.
func (owner *Owner) applySharedEnds(s *shard, now time.Time) {
	for _, view := range owner.agents {
		for _, shared := range view.sharedEnds {
			if job.ShardOf(shared.ref.Job, owner.options.Shards) == s.number {
				owner.logSharedEnd(view, shared, now)
				owner.applyRunEnd(view, shared.ref, shared.end, now)
			}
		}
	}
}

// logSharedEnd logs a shared end of a run that would otherwise be considered to go on.
func (owner *Owner) logSharedEnd(view *agentView, shared sharedEnd, now time.Time) {
	run, found := view.runs[shared.end.GetTask()]
	if !found || run.attempt != shared.end.GetAttempt() {
		return
	}
	owner.logRun(event.SharedEndApplied, run, slog.String("how", shared.end.GetReason().String()),
		slog.Int("shard", run.shard.number), slog.Duration("age", now.Sub(shared.receivedAt)))
}

// expireSharedEnds drops the ends that have been kept for sharedEndRetention.
//
// Performance: it runs in each tick for each agent, and looks at the oldest end only, unless that has expired.
func (view *agentView) expireSharedEnds(now time.Time) {
	expired := 0
	for expired < len(view.sharedEnds) && now.Sub(view.sharedEnds[expired].receivedAt) >= sharedEndRetention {
		expired++
	}
	view.sharedEnds = slices.Delete(view.sharedEnds, 0, expired)
}
