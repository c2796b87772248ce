package owner

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
)

// placeGang starts all members of a gang or none. A member that started alone would reserve
// resources without doing any work until the others start. It reports whether they were started.
func (owner *Owner) placeGang(members []*job.Task, workers []*candidate, budget *placementBudget, now time.Time) bool {
	for _, set := range owner.gangCandidateSets(members[0], workers) {
		if assigned := owner.assignGang(members, set, budget, now); assigned != nil {
			for i, member := range members {
				owner.startTask(member, assigned[i].view, now)
				assigned[i].recordStart(member, assigned[i].view.runs[member.Name()].demand)
			}
			return true
		}
	}
	obstacle := ""
	for _, member := range members {
		if member.IsUnplaced() {
			continue
		}
		if obstacle == "" {
			obstacle = string(mostCommonObstacle(member, workers))
		}
		member.MarkUnplaced(obstacle, now)
	}
	owner.shares.noteUnplaced(members[0], workers, now)
	owner.enqueueAdvice(members[0], now)
	return false
}

// gangCandidateSets returns the sets of workers to try in turn. For a gang whose members should run
// in one rack these are the workers of each rack, then all workers; for any other gang all workers.
func (owner *Owner) gangCandidateSets(member *job.Task, workers []*candidate) [][]*candidate {
	var sets [][]*candidate
	if member.Spec().GetSameRack() {
		racks := map[string][]*candidate{}
		for _, worker := range workers {
			racks[worker.rack()] = append(racks[worker.rack()], worker)
		}
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			sets = append(sets, racks[rack])
		}
	}
	return append(sets, workers)
}

// assignGang returns a worker for each member of a gang, or nil if not all members fit. It accounts
// for the members assigned so far on copies of the candidates. A worker that has as many members as it may have is passed
// over for the others.
func (owner *Owner) assignGang(members []*job.Task, workers []*candidate, budget *placementBudget, now time.Time) []*candidate {
	originals := make(map[*candidate]*candidate, len(workers))
	copies := make([]*candidate, 0, len(workers))
	for _, worker := range workers {
		copied := *worker
		originals[&copied] = worker
		copies = append(copies, &copied)
	}
	var assigned []*candidate
	counts := map[*candidate]int32{}
	for _, member := range members {
		budget.spendOnTask(len(copies))
		best := owner.bestWorker(member, copies, now)
		if best == nil {
			return nil
		}
		counts[best]++
		best.recordGangMember(member, demandOf(member, now))
		assigned = append(assigned, originals[best])
		if limit := member.Spec().GetMostPerWorker(); limit > 0 && best.countStepTasks(member)+counts[best] >= limit {
			copies = slices.DeleteFunc(copies, func(worker *candidate) bool { return worker == best })
		}
	}
	return assigned
}

// stopGang stops the other members of a gang after a member failed to start. It does nothing if the
// task is not in a gang.
func (owner *Owner) stopGang(task *job.Task) {
	if !task.Spec().GetGang() {
		return
	}
	for _, member := range task.Job().StepTasks(task) {
		view, found := owner.agents[member.Place().AgentAddress]
		if member == task || !found {
			continue
		}
		run, running := view.runs[member.Name()]
		if !running || run.attempt != member.Attempt() {
			continue
		}
		owner.logRun(event.RunStopOrdered, run, slog.String("reason", "another member of the gang did not start"))
		owner.stopOnceOwned(view, run)
	}
}

// isGangReady reports whether all members of a gang are ready.
func isGangReady(members []*job.Task, now time.Time) bool {
	for _, member := range members {
		if !member.Job().IsReady(member, now) {
			return false
		}
	}
	return true
}
