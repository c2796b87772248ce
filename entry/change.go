package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

var errLogStale = errors.New("it has not been read to its end lately")

// change appends one record that a caller or operator asked for, and returns
// its outcome. With the log down it fails at once and nothing is appended.
func (entry *Entry) change(ctx context.Context, rec *record.Record) (state.Outcome, *api.Problem) {
	if !entry.logUp(entry.now()) {
		return state.Outcome{}, logProblem(errLogStale)
	}
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	outcomes, err := entry.log.Append(ctx, rec)
	if err != nil {
		return state.Outcome{}, logProblem(err)
	}
	return outcomes[0], nil
}

// changeFor is change for a handler: it answers a failure itself.
func (entry *Entry) changeFor(writer http.ResponseWriter, request *http.Request, rec *record.Record) (state.Outcome, bool) {
	outcome, sent := entry.change(request.Context(), rec)
	if sent != nil {
		writeProblem(writer, sent)
		return state.Outcome{}, false
	}
	return outcome, true
}
