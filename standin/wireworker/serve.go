package wireworker

import (
	"encoding/json"
	"net/http"
	"time"
)

// ServeHTTP implements http.Handler. A request that expects another worker is answered with 421 Misdirected
// Request.
func (worker *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("X-Ambertiller-Expect-Instance") != worker.incarnation {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	worker.mu.Lock()
	fault := FaultNone
	if worker.fault != nil {
		fault = worker.fault(request.URL.Path)
	}
	if worker.stopped {
		fault = FaultReset
	}
	worker.mu.Unlock()
	if fault == FaultReset {
		panic(http.ErrAbortHandler)
	}
	switch request.URL.Path {
	case "/v1/run-start":
		worker.serveStart(writer, request, fault)
	case "/v1/run-stop":
		worker.serveStop(writer, request)
	case "/v1/hold":
		worker.servePoll(writer, request)
	case "/v1/pace":
		worker.servePace(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// orderResponse is the response to an order: a start, a stop or a pace.
type orderResponse struct {
	ClockMs   int64  `json:"clock_ms"`
	StartTime int64  `json:"born,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// writeResponse responds to an order with the reading of the worker's clock, the start time and, for a
// rejected order, the reason. The lock must be held.
func (worker *Worker) writeResponse(writer http.ResponseWriter, status int, reason string) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(orderResponse{worker.clockMs(), worker.startTime, reason})
}

// decodeBody decodes the JSON body of a request. If that fails, it responds with 400 Bad Request and returns
// false.
func decodeBody(writer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

// serveStart starts a run and injects the faults FaultLostResponse and FaultDelayed.
func (worker *Worker) serveStart(writer http.ResponseWriter, request *http.Request, fault Fault) {
	var body Start
	if !decodeBody(writer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if fault == FaultDelayed {
		worker.delayedStarts = append(worker.delayedStarts, body)
		panic(http.ErrAbortHandler)
	}
	reason := worker.startRun(body)
	if fault == FaultLostResponse {
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		worker.writeResponse(writer, http.StatusConflict, reason)
		return
	}
	worker.writeResponse(writer, http.StatusOK, "")
}

// serveStop ends a run if it has the given attempt.
func (worker *Worker) serveStop(writer http.ResponseWriter, request *http.Request) {
	var body Start
	if !decodeBody(writer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if body.FencingToken < worker.fencingToken {
		worker.writeResponse(writer, http.StatusConflict, "fence")
		return
	}
	if run, found := worker.running[body.Task]; found && run.attempt == body.Attempt {
		worker.endRun(body.Task, "stopped")
	}
	worker.writeResponse(writer, http.StatusOK, "")
}

// servePace sets the pace of a run.
func (worker *Worker) servePace(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Task    string `json:"task"`
		Percent int32  `json:"percent"`
	}
	if !decodeBody(writer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if run, found := worker.running[body.Task]; found {
		run.pacePercent = body.Percent
	}
	worker.writeResponse(writer, http.StatusOK, "")
}

// pollRequest is the body of a poll. LastSeen is the number of the last end that the caller acknowledges.
type pollRequest struct {
	DeadlineMs   int64 `json:"deadline_ms"`
	FencingToken int64 `json:"fencing_token"`
	LastSeen     int64 `json:"last_seen"`
	WaitMs       int64 `json:"wait_ms"`
}

// servePoll renews the lease, drops the acknowledged ends and responds with the runs and the ends. If there
// are no ends, it waits for one for up to wait_ms milliseconds.
func (worker *Worker) servePoll(writer http.ResponseWriter, request *http.Request) {
	var body pollRequest
	if !decodeBody(writer, request, &body) {
		return
	}
	worker.mu.Lock()
	worker.expireLease()
	if body.FencingToken < worker.fencingToken {
		worker.writeResponse(writer, http.StatusConflict, "fence")
		worker.mu.Unlock()
		return
	}
	worker.polls++
	worker.fencingToken = body.FencingToken
	worker.renewLease(body.DeadlineMs)
	worker.forgetEnds(body.LastSeen)
	changed, wait := worker.changed, len(worker.ends) == 0 && body.WaitMs > 0
	worker.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-worker.clock.After(time.Duration(body.WaitMs) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.stopped {
		panic(http.ErrAbortHandler)
	}
	worker.writeList(writer)
}

// forgetEnds drops the ends up to a number. An end after which the lease has expired is not reported as
// acknowledged.
func (worker *Worker) forgetEnds(acknowledgedEnd int64) {
	worker.acknowledgedEnd = max(worker.acknowledgedEnd, acknowledgedEnd)
	kept := worker.ends[:0]
	for _, end := range worker.ends {
		if end.number > acknowledgedEnd {
			kept = append(kept, end)
			continue
		}
		if end.leaseExpirations == worker.leaseExpirations {
			worker.onChange(Change{Kind: Acknowledged, Task: end.task, Attempt: end.attempt, Reason: end.reason})
		}
	}
	worker.ends = kept
}

// maxListedEnds limits the ends in one response to a poll. Later polls list the others.
const maxListedEnds = 500

// writeList responds to a poll with the runs and the ends.
func (worker *Worker) writeList(writer http.ResponseWriter) {
	worker.expireLease()
	running, finished := [][]any{}, [][]any{}
	for task, run := range worker.running {
		running = append(running, []any{task, run.attempt, run.checkpoint, run.progressPercent, run.reading})
	}
	for _, end := range worker.ends[:min(len(worker.ends), maxListedEnds)] {
		finished = append(finished, []any{end.number, end.task, end.attempt, end.reason, ""})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(struct {
		ClockMs   int64   `json:"clock_ms"`
		StartTime int64   `json:"born,omitempty"`
		Running   [][]any `json:"running"`
		Finished  [][]any `json:"finished_at"`
	}{worker.clockMs(), worker.startTime, running, finished})
}
