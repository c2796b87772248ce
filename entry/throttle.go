package entry

import (
	"context"
	"net/http"
	"strconv"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/membership"
	"ambertiller.example/ambertiller/state"
	"ambertiller.example/ambertiller/wire"
)

// serveThrottle limits a running task to a share of its processors. The limit
// applies to the current attempt only and is not recorded in the log.
func (entry *Entry) serveThrottle(writer http.ResponseWriter, request *http.Request, id string) {
	var body api.ThrottleRequest
	if problem := decodeBody(writer, request, &body); problem != nil {
		writeProblem(writer, problem)
		return
	}
	guard, attempt := entry.runningAttempt(id)
	if guard == nil {
		writeProblem(writer, notFoundProblem("no worker runs a task of ID "+strconv.Quote(id)))
		return
	}
	if problem := entry.throttleAttempt(request.Context(), guard, &wire.ThrottleRequest{Task: id, Attempt: attempt, Share: body.Share}); problem != nil {
		writeProblem(writer, problem)
		return
	}
	writeJSON(writer, http.StatusOK, body)
}

// runningAttempt returns the guard that runs the task, or nil, and the attempt.
func (entry *Entry) runningAttempt(id string) (guard *membership.Guard, attempt uint64) {
	entry.journal.View(func(st *state.State) {
		if task := st.Task(id); task != nil && task.Phase() == state.PhaseRunning {
			guard, attempt = entry.view.Guard(task.Worker()), task.Attempt()
		}
	})
	return guard, attempt
}

// throttleAttempt sends the request to the guard. Without a reply it is unknown
// whether the limit was applied.
func (entry *Entry) throttleAttempt(ctx context.Context, guard *membership.Guard, request *wire.ThrottleRequest) *api.Problem {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(guard.Address())).Throttle(ctx, request)
	if err != nil {
		return unknownOutcomeProblem(http.StatusBadGateway, err.Error())
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return markNotRun(badRequestProblem(refusal.GetDetail()))
	}
	return nil
}
