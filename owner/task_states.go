package owner

import (
	"time"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/wire"
)

// taskStates implements backlog.Tasks.
type taskStates struct {
	owner *Owner
	now   time.Time
	// largest holds, by service, the most that any one of its workers has of each resource.
	largest map[string]*wire.WorkerStatus
}

func (owner *Owner) newTaskStates(now time.Time) taskStates {
	tasks := taskStates{owner: owner, now: now, largest: map[string]*wire.WorkerStatus{}}
	for _, view := range owner.agents {
		status := view.status()
		largest := tasks.largest[status.GetService()]
		tasks.largest[status.GetService()] = &wire.WorkerStatus{
			MilliCpu:     max(largest.GetMilliCpu(), status.GetMilliCpu()),
			MemoryMb:     max(largest.GetMemoryMb(), status.GetMemoryMb()),
			Accelerators: max(largest.GetAccelerators(), status.GetAccelerators()),
		}
	}
	return tasks
}

// ProgressPercent implements backlog.Tasks.
func (tasks taskStates) ProgressPercent(task *job.Task) int32 {
	view, found := tasks.owner.agents[task.Place().AgentAddress]
	if !found {
		return 0
	}
	if run, tracked := view.runs[task.Name()]; tracked && run.attempt == task.Attempt() {
		return run.progressPercent
	}
	return 0
}

// LacksResources implements backlog.Tasks. It reports false for a task that no worker is large enough for or that waits
// because of its own constraints: more free resources would not let it start.
func (tasks taskStates) LacksResources(task *job.Task) bool {
	spec := task.Spec()
	largest, hasWorkers := tasks.largest[task.Job().Submission().GetService()]
	fits := spec.GetMilliCpu() <= largest.GetMilliCpu() && spec.GetMemoryMb() <= largest.GetMemoryMb() &&
		spec.GetAccelerators() <= largest.GetAccelerators()
	if hasWorkers && !fits {
		return false
	}
	_, found := task.UnplacedFor(tasks.now)
	switch obstacle(found) {
	case obstacleLabel, obstacleSpread, obstacleSuspect, obstacleTicket:
		return false
	}
	return true
}
