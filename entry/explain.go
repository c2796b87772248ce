package entry

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/placement"
	"ambertiller.example/ambertiller/state"
)

func (entry *Entry) policies() placement.Policies {
	return placement.Policies{InForce: entry.documents.PlacementPolicy(), BuiltIn: entry.documents.BuiltInPolicy()}
}

// serveExplain says why a task is where it is, or what it waits for.
func (entry *Entry) serveExplain(writer http.ResponseWriter, id string) {
	var made *api.Explanation
	settings := entry.documents.Config()
	now := entry.now()
	entry.journal.View(func(folded *state.State) {
		task := folded.Task(id)
		if task == nil || settings == nil {
			return
		}
		made = &api.Explanation{Task: *apiTask(task), Policy: entry.documents.PlacementPolicy().String()}
		if task.Phase() != state.PhasePending {
			made.Summary = phaseSummary(task)
			return
		}
		decision := entry.placer.decideTask(entry.placer.workerSet(folded, now), newTeamUsage(folded), settings, entry.policies(), task, now)
		explainPending(made, decision)
	})
	if made == nil {
		writeProblem(writer, notFoundProblem("no task has the ID "+strconv.Quote(id)))
		return
	}
	if !entry.isLogFresh(now) {
		made.Summary += "; the platform's log can't be read, so nothing is placed until it is back"
	}
	writeJSON(writer, http.StatusOK, made)
}

func phaseSummary(task *state.Task) string {
	if !task.Phase().IsPlaced() {
		return fmt.Sprintf("the task is %s: %s", task.Phase(), task.Reason())
	}
	return fmt.Sprintf("attempt %d is %s on %s, where policy %s placed it: %s", task.Attempt(), task.Phase(), task.Worker(), task.PolicyVersion(), task.Reason())
}

func explainPending(made *api.Explanation, decision *placement.Decision) {
	made.WorkerCount = decision.WorkerCount()
	made.Policy = decision.Policy()
	if failure := decision.PolicyError(); failure != nil {
		made.PolicyError = failure.Error()
	}
	for _, constraint := range slices.Sorted(maps.Keys(decision.Rejected())) {
		made.Constraints = append(made.Constraints, api.Constraint{Name: string(constraint), ExcludedWorkers: decision.Rejected()[constraint]})
	}
	switch {
	case decision.IsPlaced():
		made.Candidate, made.Score = decision.Worker(), decision.Score()
		made.RunnerUp, made.RunnerUpScore = decision.RunnerUp()
		made.Summary = "the task is about to be placed on " + decision.Worker()
	case decision.WorkerCount() == 0:
		made.Summary = "the task waits: this entry has not heard of any worker"
	case decision.IsImpossible():
		made.Summary = "the task can never run on the workers that are known"
	default:
		made.Summary = fmt.Sprintf("the task waits: none of %d workers can take it now", decision.WorkerCount())
	}
}
