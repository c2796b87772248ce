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

// policies returns the placement policy in force and the built-in one, which is
// used when the former fails.
func (entry *Entry) policies() placement.Policies {
	return placement.Policies{InForce: entry.documents.PlacementPolicy(), BuiltIn: entry.documents.BuiltInPolicy()}
}

// serveExplain responds with the reason for a task's placement, or with the
// constraints that keep it pending.
func (entry *Entry) serveExplain(writer http.ResponseWriter, id string) {
	var explanation *api.Explanation
	settings := entry.documents.Config()
	now := entry.now()
	entry.journal.View(func(st *state.State) {
		task := st.Task(id)
		if task == nil || settings == nil {
			return
		}
		explanation = &api.Explanation{Task: *apiTask(task), Policy: entry.documents.PlacementPolicy().String()}
		if task.Phase() != state.PhasePending {
			explanation.Summary = phaseSummary(task)
			return
		}
		decision := entry.placer.decideTask(entry.placer.workerSet(st, now), newTeamUsage(st), settings, entry.policies(), task, now)
		explainPending(explanation, decision)
	})
	if explanation == nil {
		writeProblem(writer, notFoundProblem("no task has the ID "+strconv.Quote(id)))
		return
	}
	if !entry.isLogFresh(now) {
		explanation.Summary += "; the platform's log can't be read, so nothing is placed until it is back"
	}
	writeJSON(writer, http.StatusOK, explanation)
}

// phaseSummary describes a task that is no longer pending.
func phaseSummary(task *state.Task) string {
	if !task.Phase().IsPlaced() {
		return fmt.Sprintf("the task is %s: %s", task.Phase(), task.Reason())
	}
	return fmt.Sprintf("attempt %d is %s on %s, where policy %s placed it: %s", task.Attempt(), task.Phase(), task.Worker(), task.PolicyVersion(), task.Reason())
}

// explainPending fills in the outcome of a placement decision that was made for
// the explanation only.
func explainPending(explanation *api.Explanation, decision *placement.Decision) {
	explanation.WorkerCount = decision.WorkerCount()
	explanation.Policy = decision.Policy()
	if policyErr := decision.PolicyError(); policyErr != nil {
		explanation.PolicyError = policyErr.Error()
	}
	for _, constraint := range slices.Sorted(maps.Keys(decision.Rejected())) {
		explanation.Constraints = append(explanation.Constraints, api.Constraint{Name: string(constraint), ExcludedWorkers: decision.Rejected()[constraint]})
	}
	switch {
	case decision.IsPlaced():
		explanation.Candidate, explanation.Score = decision.Worker(), decision.Score()
		explanation.RunnerUp, explanation.RunnerUpScore = decision.RunnerUp()
		explanation.Summary = "the task is about to be placed on " + decision.Worker()
	case decision.WorkerCount() == 0:
		explanation.Summary = "the task waits: this entry has not heard of any worker"
	case decision.IsImpossible():
		explanation.Summary = "the task can never run on the workers that are known"
	default:
		explanation.Summary = fmt.Sprintf("the task waits: none of %d workers can take it now", decision.WorkerCount())
	}
}
