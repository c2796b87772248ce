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

// appendChange appends one record that a caller or operator asked for, and returns
// its outcome. With the log down it fails at once and nothing is appended.
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

// appendOrRespond is change for a handler: it answers a failure itself.
func (entry *Entry) appendOrRespond(writer http.ResponseWriter, request *http.Request, rec *record.Record) (state.Outcome, bool) {
	outcome, sent := entry.appendChange(request.Context(), rec)
	if sent != nil {
		writeProblem(writer, sent)
		return state.Outcome{}, false
	}
	return outcome, true
}
