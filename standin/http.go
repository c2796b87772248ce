package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ambertiller.example/ambertiller/instances"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/worker"
)

const (
	maxBodyBytes   = 16 << 20
	maxReadWait    = 30 * time.Second // longer waits are shortened to it
	maxReadEntries = 4096             // in one page
)

// platformHandler serves the log, the instance list and the endpoints that inject failures.
func (platform *Platform) platformHandler() http.Handler {
	mux := http.NewServeMux()
	platform.log.routes(mux)
	mux.HandleFunc("GET /instances", platform.serveInstances)
	mux.HandleFunc("PUT /instances/{name}/state/{state}", platform.serveInstanceState)
	mux.HandleFunc("PUT /control/log/{state}", platform.serveLogState)
	mux.HandleFunc("GET /control/holds/{name}", func(writer http.ResponseWriter, request *http.Request) {
		writeJSON(writer, http.StatusOK, platform.holds.waitingCount(request.PathValue("name")))
	})
	mux.HandleFunc("GET /control/counts/{name}", func(writer http.ResponseWriter, request *http.Request) {
		writeJSON(writer, http.StatusOK, platform.holds.runCount(request.PathValue("name")))
	})
	mux.HandleFunc("DELETE /control/holds/{name}", func(writer http.ResponseWriter, request *http.Request) {
		platform.holds.release(request.PathValue("name"))
		writer.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// LogHandler serves a log.
func LogHandler(log *Log) http.Handler {
	mux := http.NewServeMux()
	log.routes(mux)
	return mux
}

// routes adds the handlers of the log to mux.
func (log *Log) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /streams/{stream}/records", log.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", log.serveRead)
}

// serveAppend serves an append. If the response is to be lost, it aborts the connection after the append.
func (log *Log) serveAppend(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, logservice.MaxEntryBytes))
	if err != nil {
		http.Error(writer, "the entry is too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	result := log.append(request.PathValue("stream"), data, time.Now())
	switch {
	case result.down:
		http.Error(writer, "outage", http.StatusServiceUnavailable)
	case result.retryAfter > 0:
		writer.Header().Set("Retry-After", strconv.FormatFloat(result.retryAfter.Seconds(), 'f', 3, 64))
		http.Error(writer, "too many appends", http.StatusTooManyRequests)
	case result.responseLost:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(writer, http.StatusCreated, logservice.AppendResponse{Offset: result.offset})
	}
}

// serveRead serves a read, which may wait for entries.
func (log *Log) serveRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(writer, "from must be an offset", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(query.Get("max"))
	if err != nil || limit < 1 {
		http.Error(writer, "max must be a count", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	page, available := log.waitRead(request.Context(), request.PathValue("stream"), logservice.ReadOptions{
		From: from,
		Max:  min(limit, maxReadEntries),
		Wait: min(wait, maxReadWait),
	})
	switch {
	case !available:
		http.Error(writer, "outage", http.StatusServiceUnavailable)
	case from < page.Earliest:
		writeJSON(writer, http.StatusGone, logservice.Page{Earliest: page.Earliest, Next: page.Next})
	default:
		writeJSON(writer, http.StatusOK, page)
	}
}

// serveInstances serves the instance list. The query parameter "role" limits it to one role. A client that
// already has the list gets 304 Not Modified.
func (platform *Platform) serveInstances(writer http.ResponseWriter, request *http.Request) {
	list := platform.Instances()
	if role := instances.Role(request.URL.Query().Get("role")); role != instances.AllRoles {
		list = slices.DeleteFunc(list, func(instance instances.Instance) bool { return instance.Role != role })
	}
	entityTag := newEntityTag(list)
	writer.Header().Set("ETag", entityTag)
	if request.Header.Get("If-None-Match") == entityTag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(writer, http.StatusOK, list)
}

// newEntityTag returns an entity tag for a list of instances.
func newEntityTag(list []instances.Instance) string {
	hash := xxhash.New()
	for _, instance := range list {
		_, _ = fmt.Fprintf(hash, "%+v\n", instance)
	}
	return fmt.Sprintf("%q", strconv.FormatUint(hash.Sum64(), 16))
}

// serveInstanceState changes the state of an instance in the list.
func (platform *Platform) serveInstanceState(writer http.ResponseWriter, request *http.Request) {
	if !platform.setInstanceState(request.PathValue("name"), request.PathValue("state")) {
		http.Error(writer, "no instance of that name, or not one of live, leaving, gone", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// serveLogState starts or ends an outage of the log.
func (platform *Platform) serveLogState(writer http.ResponseWriter, request *http.Request) {
	switch request.PathValue("state") {
	case "up":
		platform.log.SetDown(false)
	case "down":
		platform.log.SetDown(true)
	default:
		http.Error(writer, "the state must be up or down", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// Handler serves the platform's interface to this worker.
func (fake *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /capacity", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, fake.options.Capacity)
	})
	mux.HandleFunc("GET /usage", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, fake.usage())
	})
	mux.HandleFunc("GET /tasks", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, fake.listTasks())
	})
	mux.HandleFunc("PUT /tasks/{task}", fake.serveStart)
	mux.HandleFunc("POST /tasks/{task}/stop", fake.newAttemptHandler(func(state *taskState, _ attemptRequest) { requestStop(state) }))
	mux.HandleFunc("POST /tasks/{task}/throttle", fake.newAttemptHandler(func(state *taskState, requested attemptRequest) {
		state.throttle = requested.Share
	}))
	mux.HandleFunc("DELETE /tasks/{task}", fake.newAttemptHandler(func(state *taskState, _ attemptRequest) { fake.removeEnded(state) }))
	mux.HandleFunc("POST /leases", fake.serveRenew)
	mux.HandleFunc("GET /tasks/{task}/stream", fake.serveStream)
	return mux
}

// attemptRequest is the body of a request that concerns one attempt of a task. Share is used by throttle only.
type attemptRequest struct {
	Attempt uint64  `json:"attempt"`
	Share   float64 `json:"share"`
}

// serveStart serves the start of an attempt.
func (fake *Worker) serveStart(writer http.ResponseWriter, request *http.Request) {
	var start worker.StartRequest
	if !decodeBody(writer, request, &start) {
		return
	}
	stale, failure := fake.startTask(start, time.Now())
	switch {
	case stale:
		http.Error(writer, "a newer attempt is known", http.StatusConflict)
	case failure != "":
		http.Error(writer, failure, http.StatusUnprocessableEntity)
	default:
		writer.WriteHeader(http.StatusCreated)
	}
}

// newAttemptHandler returns a handler that applies change to the state of the requested attempt, and responds
// with 409 Conflict if that is not the task's current attempt.
func (fake *Worker) newAttemptHandler(change func(state *taskState, requested attemptRequest)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var requested attemptRequest
		if !decodeBody(writer, request, &requested) {
			return
		}
		current := fake.updateAttempt(request.PathValue("task"), requested.Attempt, func(state *taskState) { change(state, requested) })
		if !current {
			http.Error(writer, "no such attempt", http.StatusConflict)
			return
		}
		writer.WriteHeader(http.StatusAccepted)
	}
}

// serveRenew serves renewals of leases. Renewals of attempts that are not current are ignored.
func (fake *Worker) serveRenew(writer http.ResponseWriter, request *http.Request) {
	var renewals []worker.Renewal
	if !decodeBody(writer, request, &renewals) {
		return
	}
	fake.renewLeases(renewals)
	writer.WriteHeader(http.StatusAccepted)
}

// serveStream serves the outputs of a task as JSON lines until the task ends or the client disconnects.
func (fake *Worker) serveStream(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(writer, "after must be a sequence number", http.StatusBadRequest)
		return
	}
	flusher := http.NewResponseController(writer)
	writer.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(writer)
	for {
		outputs, ended, changed := fake.outputs(request.PathValue("task"), after)
		for _, output := range outputs {
			if err := encoder.Encode(output); err != nil {
				return
			}
			after = output.Sequence
		}
		if ended {
			_ = encoder.Encode(worker.Output{Sequence: after, Last: true})
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		}
	}
}

// decodeBody decodes the JSON body of a request. If that fails, it responds with 400 Bad Request and returns
// false.
func decodeBody(writer http.ResponseWriter, request *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes)).Decode(target); err != nil {
		http.Error(writer, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON writes a response with a JSON body. Write errors are ignored: the client has disconnected.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
