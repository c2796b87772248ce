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

// serveThrottle bounds a running task to a share of its processors. It holds
// for the present attempt and is not kept in the log.
func (entry *Entry) serveThrottle(writer http.ResponseWriter, request *http.Request, id string) {
	var asked api.ThrottleRequest
	if sent := decodeBody(writer, request, &asked); sent != nil {
		writeProblem(writer, sent)
		return
	}
	guard, attempt := entry.runningAttempt(id)
	if guard == nil {
		writeProblem(writer, notFoundProblem("no worker runs a task of ID "+strconv.Quote(id)))
		return
	}
	if sent := entry.throttleAttempt(request.Context(), guard, &wire.ThrottleRequest{Task: id, Attempt: attempt, Share: asked.Share}); sent != nil {
		writeProblem(writer, sent)
		return
	}
	writeJSON(writer, http.StatusOK, asked)
}

// runningAttempt returns the guard that runs a task, and the attempt.
func (entry *Entry) runningAttempt(id string) (guard *membership.Guard, attempt uint64) {
	entry.journal.View(func(folded *state.State) {
		if task := folded.Task(id); task != nil && task.Phase() == state.PhaseRunning {
			guard, attempt = entry.view.Guard(task.Worker()), task.Attempt()
		}
	})
	return guard, attempt
}

func (entry *Entry) throttleAttempt(ctx context.Context, guard *membership.Guard, asked *wire.ThrottleRequest) *api.Problem {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wire.NewDRPCGuardClient(entry.options.Pool.Conn(guard.Address())).Throttle(ctx, asked)
	if err != nil {
		return unknownOutcomeProblem(http.StatusBadGateway, err.Error())
	}
	if refusal := reply.GetRefusal(); refusal != nil {
		return markNotRun(badRequestProblem(refusal.GetDetail()))
	}
	return nil
}
