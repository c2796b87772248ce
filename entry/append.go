package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

var errLogNotFresh = errors.New("it has not been read to its end lately")

// appendChange appends a record requested by a caller or operator, and returns
// its outcome. If the log is down, it fails at once without appending.
func (entry *Entry) appendChange(ctx context.Context, rec *record.Record) (state.Outcome, *api.Problem) {
	if !entry.isLogFresh(entry.now()) {
		return state.Outcome{}, logProblem(errLogNotFresh)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	outcomes, err := entry.journal.Append(ctx, rec)
	if err != nil {
		return state.Outcome{}, logProblem(err)
	}
	return outcomes[0], nil
}

// appendOrRespond is appendChange for HTTP handlers. On failure it writes the
// problem to the response and returns false.
func (entry *Entry) appendOrRespond(writer http.ResponseWriter, request *http.Request, rec *record.Record) (state.Outcome, bool) {
	outcome, problem := entry.appendChange(request.Context(), rec)
	if problem != nil {
		writeProblem(writer, problem)
		return state.Outcome{}, false
	}
	return outcome, true
}
