package wireworker

import (
	"encoding/json"
	"net/http"
	"time"
)

// ServeHTTP implements http.Handler.
func (worker *Worker) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("X-Ambertiller-Expect-Instance") != worker.incarnation {
		answer.WriteHeader(http.StatusMisdirectedRequest)
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
		worker.serveStart(answer, request, fault)
	case "/v1/run-stop":
		worker.serveStop(answer, request)
	case "/v1/hold":
		worker.servePoll(answer, request)
	case "/v1/pace":
		worker.servePace(answer, request)
	default:
		answer.WriteHeader(http.StatusNotFound)
	}
}

type orderResponse struct {
	ClockMs   int64  `json:"clock_ms"`
	StartTime int64  `json:"born,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

func (worker *Worker) writeResponse(answer http.ResponseWriter, status int, reason string) {
	answer.Header().Set("Content-Type", "application/json")
	answer.WriteHeader(status)
	_ = json.NewEncoder(answer).Encode(orderResponse{worker.clockMs(), worker.startTime, reason})
}

// decodeBody decodes a call; one that it can't decode is answered.
func decodeBody(answer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (worker *Worker) serveStart(answer http.ResponseWriter, request *http.Request, fault Fault) {
	var body Start
	if !decodeBody(answer, request, &body) {
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
		worker.writeResponse(answer, http.StatusConflict, reason)
		return
	}
	worker.writeResponse(answer, http.StatusOK, "")
}

func (worker *Worker) serveStop(answer http.ResponseWriter, request *http.Request) {
	var body Start
	if !decodeBody(answer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if body.FencingToken < worker.fencingToken {
		worker.writeResponse(answer, http.StatusConflict, "fence")
		return
	}
	if known, found := worker.running[body.Task]; found && known.attempt == body.Attempt {
		worker.endRun(body.Task, "stopped")
	}
	worker.writeResponse(answer, http.StatusOK, "")
}

func (worker *Worker) servePace(answer http.ResponseWriter, request *http.Request) {
	var body struct {
		Task    string `json:"task"`
		Percent int32  `json:"percent"`
	}
	if !decodeBody(answer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[body.Task]; found {
		known.pacePercent = body.Percent
	}
	worker.writeResponse(answer, http.StatusOK, "")
}

type pollRequest struct {
	DeadlineMs   int64 `json:"deadline_ms"`
	FencingToken int64 `json:"fencing_token"`
	LastSeen     int64 `json:"last_seen"`
	WaitMs       int64 `json:"wait_ms"`
}

func (worker *Worker) servePoll(answer http.ResponseWriter, request *http.Request) {
	var body pollRequest
	if !decodeBody(answer, request, &body) {
		return
	}
	worker.mu.Lock()
	worker.expireLease()
	if body.FencingToken < worker.fencingToken {
		worker.writeResponse(answer, http.StatusConflict, "fence")
		worker.mu.Unlock()
		return
	}
	worker.polls++
	worker.fencingToken = body.FencingToken
	worker.renewLease(body.DeadlineMs)
	worker.forgetEnds(body.LastSeen)
	changed, waits := worker.changed, len(worker.ends) == 0 && body.WaitMs > 0
	worker.mu.Unlock()
	if waits {
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
	worker.writeList(answer)
}

func (worker *Worker) forgetEnds(seen int64) {
	worker.acknowledgedEnd = max(worker.acknowledgedEnd, seen)
	kept := worker.ends[:0]
	for _, one := range worker.ends {
		if one.number > seen {
			kept = append(kept, one)
			continue
		}
		if one.leaseExpirations == worker.leaseExpirations {
			worker.onChange(Change{Kind: Acknowledged, Task: one.task, Attempt: one.attempt, Reason: one.reason})
		}
	}
	worker.ends = kept
}

// maxListedEnds is how many ends are listed at once.
const maxListedEnds = 500

func (worker *Worker) writeList(answer http.ResponseWriter) {
	worker.expireLease()
	running, ended := [][]any{}, [][]any{}
	for task, known := range worker.running {
		running = append(running, []any{task, known.attempt, known.checkpoint, known.progressPercent, known.reading})
	}
	for _, one := range worker.ends[:min(len(worker.ends), maxListedEnds)] {
		ended = append(ended, []any{one.number, one.task, one.attempt, one.reason, ""})
	}
	answer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(answer).Encode(struct {
		ClockMs  int64   `json:"clock_ms"`
		Born     int64   `json:"born,omitempty"`
		Running  [][]any `json:"running"`
		Finished [][]any `json:"finished_at"`
	}{worker.clockMs(), worker.startTime, running, ended})
}
