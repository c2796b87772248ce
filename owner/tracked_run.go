package owner

import (
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// trackedRun is the owner's state of a run that has been placed on an agent's worker and is not known to have
// ended.
type trackedRun struct {
	task     *job.Task
	shard    *shard
	taskName string
	attempt  int32
	place    job.Place
	demand   *wire.Demand
	ticket   string
	// isSuspect is set if the run is ordered as one that may crash its worker.
	isSuspect bool
	// orderSequence is the sequence number of the message with the start order, 0 until there is one on the
	// current connection.
	orderSequence int64
	// orderedEarlier marks a run whose start order was sent on an earlier connection or by an earlier owner.
	orderedEarlier bool
	// inherited marks a run of an earlier owner until its agent has listed it.
	inherited bool
	// confirmed is set once the agent has reported the run as started.
	confirmed bool
	// orderedAt is when the start was in the store, so that it could be ordered. It is zero for a run that an earlier
	// owner ordered.
	orderedAt time.Time
	// progressPercent is the progress last reported, progressedAt when it last changed.
	progressPercent int32
	progressedAt    time.Time
	stopOrderedAt   time.Time
	// inAgentStatus is set once the free resources in the agent's status take account of the run.
	inAgentStatus bool
}

// isUnordered reports whether no order of the run was sent, so that it can't have started.
func (run *trackedRun) isUnordered() bool { return run.orderSequence == 0 && !run.orderedEarlier }

// storeLatency returns the time from the placement of the task until its start was in the store, or 0 if that
// is not known. The run may be nil.
func (run *trackedRun) storeLatency(task *job.Task) time.Duration {
	if run == nil || run.orderedAt.IsZero() {
		return 0
	}
	return run.orderedAt.Sub(task.StartedAt())
}

// newTrackedRun returns the run of a task in its current attempt, as the task's job has it.
func newTrackedRun(s *shard, task *job.Task, now time.Time) *trackedRun {
	return &trackedRun{
		task: task, shard: s, taskName: task.Name(), attempt: task.Attempt(), place: task.Place(),
		demand: demandOf(task, now),
	}
}

// maxInterruptions is how often a task may be interrupted before it is no longer moved for the sake of
// serving tasks, but only slowed down: each move loses the progress since the last checkpoint.
const maxInterruptions = 8

// demandOf returns what a task needs of a worker, how it shares the worker with others, and how much slack
// its job has left.
func demandOf(task *job.Task, now time.Time) *wire.Demand {
	spec := task.Spec()
	return &wire.Demand{
		MilliCpu: spec.GetMilliCpu(), MemoryMb: spec.GetMemoryMb(), Accelerators: spec.GetAccelerators(),
		Fills: spec.GetFills(), TargetMs: spec.GetTargetMs(), Lasting: spec.GetLasting(), Image: spec.GetImage(),
		Movable: isMovable(task), Saves: spec.GetCheckpointing(), Priority: task.Job().Submission().GetPriority(),
		EstimateMs: spec.GetEstimateMs(), SpareMs: task.Job().SlackTime(now).Milliseconds(),
	}
}

// isMovable reports whether a task may be stopped on its worker to be started on another one. The members
// of a gang end together, so moving one that writes no checkpoints loses the progress of all.
func isMovable(task *job.Task) bool {
	spec := task.Spec()
	return task.Interruptions() < maxInterruptions && (spec.GetCheckpointing() || !spec.GetGang())
}
