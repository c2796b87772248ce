package owner

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
)

// placeGang starts all members of a gang or none: a member that waits for others
// that don't come holds room for nothing.
func (owner *Owner) placeGang(members []*job.Task, workers []*candidate, now time.Time) {
	for _, among := range owner.gangCandidateSets(members[0], workers) {
		if chosen := owner.assignGang(members, among, now); chosen != nil {
			for index, member := range members {
				owner.startTask(member, chosen[index].view, now)
				chosen[index].recordStart(member, chosen[index].view.runs[member.Name()].demand)
			}
			return
		}
	}
	for _, member := range members {
		if !member.IsUnplaced() {
			member.MarkUnplaced(string(mostCommonObstacle(member, workers)), now)
		}
	}
	owner.enqueueAdvice(members[0], now)
}

// gangCandidateSets returns the sets of workers to try: each rack by itself for a gang
// that should not be spread, then all of them.
func (owner *Owner) gangCandidateSets(member *job.Task, workers []*candidate) [][]*candidate {
	var choices [][]*candidate
	if member.Spec().GetSameRack() {
		racks := map[string][]*candidate{}
		for _, worker := range workers {
			racks[worker.rack()] = append(racks[worker.rack()], worker)
		}
		for _, rack := range slices.Sorted(maps.Keys(racks)) {
			choices = append(choices, racks[rack])
		}
	}
	return append(choices, workers)
}

// assignGang returns a worker for each member, or nil if they don't all fit.
func (owner *Owner) assignGang(members []*job.Task, workers []*candidate, now time.Time) []*candidate {
	trial := make(map[*candidate]*candidate, len(workers))
	copies := make([]*candidate, 0, len(workers))
	for _, worker := range workers {
		copied := *worker
		trial[&copied] = worker
		copies = append(copies, &copied)
	}
	var chosen []*candidate
	held := map[*candidate]int32{}
	for _, member := range members {
		best := owner.bestWorker(member, copies, now)
		most := member.Spec().GetMostPerWorker()
		if best == nil || most > 0 && held[best] >= most {
			return nil
		}
		held[best]++
		best.recordStart(member, demandOf(member, now))
		chosen = append(chosen, trial[best])
	}
	return chosen
}

// stopGang stops the other members of a gang one of whose members did not start.
func (owner *Owner) stopGang(task *job.Task) {
	if !task.Spec().GetGang() {
		return
	}
	for _, member := range task.Job().StepTasks(task) {
		view, found := owner.agents[member.Place().AgentAddress]
		if member == task || !found {
			continue
		}
		entry, running := view.runs[member.Name()]
		if !running || entry.attempt != member.Attempt() {
			continue
		}
		owner.logRun(event.RunStopOrdered, entry, slog.String("reason", "another member of the gang did not start"))
		view.addStopOrder(entry.shard, entry.taskName, entry.attempt, entry.place.Incarnation)
	}
}

// readyGang returns the members of a ready task's gang if all of them are ready.
func readyGang(task *job.Task, ready []*job.Task) []*job.Task {
	members := task.Job().StepTasks(task)
	count := 0
	for _, other := range ready {
		if other.Round() == task.Round() && other.Step() == task.Step() {
			count++
		}
	}
	if count < len(members) {
		return nil
	}
	return members
}
