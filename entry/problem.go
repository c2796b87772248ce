package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/changelog"
)

var (
	errShuttingDown = errors.New("this entry is leaving")
	errNoConfig     = errors.New("no configuration is in force yet; publish one with `ambertiller config publish`")
)

const defaultRetryAfter = time.Second

// newProblem makes a problem document.
func newProblem(status int, kind, title, detail string) *api.Problem {
	return &api.Problem{Type: kind, Title: title, Status: status, Detail: detail}
}

func badRequestProblem(detail string) *api.Problem {
	return newProblem(http.StatusBadRequest, api.TypeBadRequest, "The request can't be understood", detail)
}

func notFoundProblem(detail string) *api.Problem {
	return newProblem(http.StatusNotFound, api.TypeNotFound, "There is no such thing", detail)
}

// notRunProblem says that a request has proved not to have run, and when to come back.
func notRunProblem(detail string, retryAfter time.Duration) *api.Problem {
	made := newProblem(http.StatusServiceUnavailable, api.TypeNotRun, "The request was not run", detail)
	made.Outcome = api.OutcomeNotRun
	made.RetryAfter = retryAfter.Round(time.Millisecond).String()
	return made
}

// unknownOutcomeProblem says that a request may have run.
func unknownOutcomeProblem(status int, detail string) *api.Problem {
	made := newProblem(status, api.TypeUnknown, "The request may have run", detail)
	made.Outcome = api.OutcomeUnknown
	return made
}

// logProblem says that the log did not take a record, or may have.
func logProblem(err error) *api.Problem {
	var unsettled *changelog.UnsettledError
	made := newProblem(http.StatusServiceUnavailable, api.TypeLogUnavailable, "The platform's log does not answer", err.Error())
	made.Outcome = api.OutcomeNotRun
	made.RetryAfter = defaultRetryAfter.String()
	if errors.As(err, &unsettled) {
		made.Outcome = api.OutcomeUnknown
	}
	return made
}

// writeProblem sends a problem document. Retry-After has whole seconds, so it
// is rounded up; the body has the exact time.
func writeProblem(writer http.ResponseWriter, sent *api.Problem) {
	header := writer.Header()
	header.Set("Content-Type", api.ProblemType)
	if wait, err := time.ParseDuration(sent.RetryAfter); err == nil {
		header.Set(api.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	writer.WriteHeader(sent.Status)
	// Nothing can be done for a caller who has gone.
	_ = json.NewEncoder(writer).Encode(sent)
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
