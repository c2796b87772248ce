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
	errLeaving  = errors.New("this entry is leaving")
	errNoConfig = errors.New("no configuration is in force yet; publish one with `ambertiller config publish`")
)

const retryLog = time.Second

// problem makes a problem document.
func problem(status int, kind, title, detail string) *api.Problem {
	return &api.Problem{Type: kind, Title: title, Status: status, Detail: detail}
}

func badRequest(detail string) *api.Problem {
	return problem(http.StatusBadRequest, api.TypeBadRequest, "The request can't be understood", detail)
}

func notFound(detail string) *api.Problem {
	return problem(http.StatusNotFound, api.TypeNotFound, "There is no such thing", detail)
}

// notRun says that a request has proved not to have run, and when to come back.
func notRun(detail string, retryAfter time.Duration) *api.Problem {
	made := problem(http.StatusServiceUnavailable, api.TypeNotRun, "The request was not run", detail)
	made.Outcome = api.OutcomeNotRun
	made.RetryAfter = retryAfter.Round(time.Millisecond).String()
	return made
}

// unknown says that a request may have run.
func unknown(status int, detail string) *api.Problem {
	made := problem(status, api.TypeUnknown, "The request may have run", detail)
	made.Outcome = api.OutcomeUnknown
	return made
}

// logProblem says that the log did not take a record, or may have.
func logProblem(err error) *api.Problem {
	var unsettled *changelog.UnsettledError
	made := problem(http.StatusServiceUnavailable, api.TypeLog, "The platform's log does not answer", err.Error())
	made.Outcome = api.OutcomeNotRun
	made.RetryAfter = retryLog.String()
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
