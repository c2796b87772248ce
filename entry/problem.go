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

// defaultRetryAfter is the Retry-After of problems whose duration is not known.
const defaultRetryAfter = time.Second

// newProblem returns a problem document without an outcome.
func newProblem(status int, kind, title, detail string) *api.Problem {
	return &api.Problem{Type: kind, Title: title, Status: status, Detail: detail}
}

func badRequestProblem(detail string) *api.Problem {
	return newProblem(http.StatusBadRequest, api.TypeBadRequest, "The request can't be understood", detail)
}

func notFoundProblem(detail string) *api.Problem {
	return newProblem(http.StatusNotFound, api.TypeNotFound, "There is no such thing", detail)
}

// notRunProblem reports that a request certainly did not run, and when it may be
// sent again.
func notRunProblem(detail string, retryAfter time.Duration) *api.Problem {
	problem := newProblem(http.StatusServiceUnavailable, api.TypeNotRun, "The request was not run", detail)
	problem.Outcome = api.OutcomeNotRun
	problem.RetryAfter = retryAfter.Round(time.Millisecond).String()
	return problem
}

// unknownOutcomeProblem reports that a request may have run.
func unknownOutcomeProblem(status int, detail string) *api.Problem {
	problem := newProblem(status, api.TypeUnknown, "The request may have run", detail)
	problem.Outcome = api.OutcomeUnknown
	return problem
}

// logProblem reports that an append to the log failed. The outcome is unknown if
// the record may still have been appended.
func logProblem(err error) *api.Problem {
	var unsettledErr *changelog.UnsettledError
	problem := newProblem(http.StatusServiceUnavailable, api.TypeLogUnavailable, "The platform's log does not answer", err.Error())
	problem.Outcome = api.OutcomeNotRun
	problem.RetryAfter = defaultRetryAfter.String()
	if errors.As(err, &unsettledErr) {
		problem.Outcome = api.OutcomeUnknown
	}
	return problem
}

// writeProblem responds with a problem document. The Retry-After header holds whole
// seconds and is rounded up, while the body holds the exact duration.
func writeProblem(writer http.ResponseWriter, problem *api.Problem) {
	header := writer.Header()
	header.Set("Content-Type", api.ProblemType)
	if wait, err := time.ParseDuration(problem.RetryAfter); err == nil {
		header.Set(api.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	writer.WriteHeader(problem.Status)
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(problem)
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
