package owner

import (
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// trackedRun is a run that is ordered at an agent, or is about to be.
type trackedRun struct {
	task     *job.Task
	shard    *shard
	taskName string
	attempt  int32
	place    job.Place
	demand   *wire.Demand
	ticket   string
	// orderSequence is that of the message with the order: 0 before it is sent.
	orderSequence int64
	// orderedEarlier marks a run whose order went out on an earlier connection, or by
	// an earlier owner.
	orderedEarlier bool
	// inherited marks a run of an earlier owner until an agent has listed it.
	inherited bool
	confirmed bool
	orderedAt time.Time // when the start was in the store; zero for an earlier owner's
	// progressPercent is the progress last told, movedAt when it last changed.
	progressPercent int32
	progressedAt    time.Time
	stopOrderedAt   time.Time
	inAgentStatus   bool // the agent's account of its room includes the run
}

// storeLatency returns how long the store took to keep the start; 0 if that is not
// known. The entry may be nil.
func (entry *trackedRun) storeLatency(task *job.Task) time.Duration {
	if entry == nil || entry.orderedAt.IsZero() {
		return 0
	}
	return entry.orderedAt.Sub(task.StartedAt())
}

func newTrackedRun(held *shard, task *job.Task, now time.Time) *trackedRun {
	return &trackedRun{
		task: task, shard: held, taskName: task.Name(), attempt: task.Attempt(), place: task.Place(),
		demand: demandOf(task, now),
	}
}

// maxInterruptions is how often a task is moved for the sake of serving ones before it
// is left where it is, and only slowed: each move costs what it has not saved.
const maxInterruptions = 8

// demandOf tells what a task takes of a worker and how it shares it, and what its job may
// lose from now on.
func demandOf(task *job.Task, now time.Time) *wire.Demand {
	spec := task.Spec()
	return &wire.Demand{
		MilliCpu: spec.GetMilliCpu(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators(),
		Fills: spec.GetFills(), TargetMs: spec.GetTargetMs(), Lasting: spec.GetLasting(), Image: spec.GetImage(),
		Movable: isMovable(task), Saves: spec.GetCheckpointing(), Priority: task.Job().Submission().GetPriority(),
		EstimateMs: spec.GetEstimateMs(), SpareMs: task.Job().SlackTime(now).Milliseconds(),
	}
}

// isMovable reports whether a task may be moved for the sake of others or of its own. The
// members of a gang end together, so moving one that saves nothing costs the work of all.
func isMovable(task *job.Task) bool {
	spec := task.Spec()
	return task.Interruptions() < maxInterruptions && (spec.GetCheckpointing() || !spec.GetGang())
}
