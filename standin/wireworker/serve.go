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
	if worker.over {
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
		worker.serveHold(answer, request)
	case "/v1/pace":
		worker.servePace(answer, request)
	default:
		answer.WriteHeader(http.StatusNotFound)
	}
}

type clockBody struct {
	ClockMs int64  `json:"clock_ms"`
	Born    int64  `json:"born,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

func (worker *Worker) reply(answer http.ResponseWriter, status int, reason string) {
	answer.Header().Set("Content-Type", "application/json")
	answer.WriteHeader(status)
	_ = json.NewEncoder(answer).Encode(clockBody{worker.clock(), worker.born, reason})
}

// takeBody decodes a call; one that it can't decode is answered.
func takeBody(answer http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return false
	}
	return true
}

func (worker *Worker) serveStart(answer http.ResponseWriter, request *http.Request, fault Fault) {
	var body Start
	if !takeBody(answer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if fault == FaultLate {
		worker.late = append(worker.late, body)
		panic(http.ErrAbortHandler)
	}
	reason := worker.start(body)
	if fault == FaultLost {
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		worker.reply(answer, http.StatusConflict, reason)
		return
	}
	worker.reply(answer, http.StatusOK, "")
}

func (worker *Worker) serveStop(answer http.ResponseWriter, request *http.Request) {
	var body Start
	if !takeBody(answer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if body.FencingToken < worker.token {
		worker.reply(answer, http.StatusConflict, "fence")
		return
	}
	if known, found := worker.running[body.Task]; found && known.attempt == body.Attempt {
		worker.end(body.Task, "stopped")
	}
	worker.reply(answer, http.StatusOK, "")
}

func (worker *Worker) servePace(answer http.ResponseWriter, request *http.Request) {
	var body struct {
		Task    string `json:"task"`
		Percent int32  `json:"percent"`
	}
	if !takeBody(answer, request, &body) {
		return
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if known, found := worker.running[body.Task]; found {
		known.pace = body.Percent
	}
	worker.reply(answer, http.StatusOK, "")
}

type holdBody struct {
	DeadlineMs   int64 `json:"deadline_ms"`
	FencingToken int64 `json:"fencing_token"`
	LastSeen     int64 `json:"last_seen"`
	WaitMs       int64 `json:"wait_ms"`
}

func (worker *Worker) serveHold(answer http.ResponseWriter, request *http.Request) {
	var body holdBody
	if !takeBody(answer, request, &body) {
		return
	}
	worker.mu.Lock()
	worker.lapse()
	if body.FencingToken < worker.token {
		worker.reply(answer, http.StatusConflict, "fence")
		worker.mu.Unlock()
		return
	}
	worker.looks++
	worker.token = body.FencingToken
	worker.renew(body.DeadlineMs)
	worker.forget(body.LastSeen)
	changed, waits := worker.changed, len(worker.ends) == 0 && body.WaitMs > 0
	worker.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-worker.clocks.After(time.Duration(body.WaitMs) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.over {
		panic(http.ErrAbortHandler)
	}
	worker.list(answer)
}

func (worker *Worker) forget(seen int64) {
	worker.seen = max(worker.seen, seen)
	kept := worker.ends[:0]
	for _, one := range worker.ends {
		if one.number > seen {
			kept = append(kept, one)
			continue
		}
		if one.lapses == worker.lapses {
			worker.watch(Change{Kind: Noted, Task: one.task, Attempt: one.attempt, How: one.how})
		}
	}
	worker.ends = kept
}

// endsListedMost is how many ends are listed at once.
const endsListedMost = 500

func (worker *Worker) list(answer http.ResponseWriter) {
	worker.lapse()
	running, ended := [][]any{}, [][]any{}
	for task, known := range worker.running {
		running = append(running, []any{task, known.attempt, known.checkpoint, known.percent, known.figure})
	}
	for _, one := range worker.ends[:min(len(worker.ends), endsListedMost)] {
		ended = append(ended, []any{one.number, one.task, one.attempt, one.how, ""})
	}
	answer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(answer).Encode(struct {
		ClockMs  int64   `json:"clock_ms"`
		Born     int64   `json:"born,omitempty"`
		Running  [][]any `json:"running"`
		Finished [][]any `json:"finished_at"`
	}{worker.clock(), worker.born, running, ended})
}
