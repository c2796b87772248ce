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
	maxReadWait    = 30 * time.Second
	maxReadEntries = 4096
)

// platformHandler serves the log and the instance list, and the controls that
// bring failures about.
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

// LogHandler serves a log alone.
func LogHandler(kept *Log) http.Handler {
	mux := http.NewServeMux()
	kept.routes(mux)
	return mux
}

func (kept *Log) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /streams/{stream}/records", kept.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", kept.serveRead)
}

func (kept *Log) serveAppend(writer http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, logservice.MaxEntryBytes))
	if err != nil {
		http.Error(writer, "the entry is too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	result := kept.append(request.PathValue("stream"), data, time.Now())
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

func (kept *Log) serveRead(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(writer, "from must be an offset", http.StatusBadRequest)
		return
	}
	most, err := strconv.Atoi(query.Get("max"))
	if err != nil || most < 1 {
		http.Error(writer, "max must be a count", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil {
		wait = 0
	}
	page, up := kept.waitRead(request.Context(), request.PathValue("stream"), logservice.ReadOptions{
		From: from,
		Max:  min(most, maxReadEntries),
		Wait: min(wait, maxReadWait),
	})
	switch {
	case !up:
		http.Error(writer, "outage", http.StatusServiceUnavailable)
	case from < page.Earliest:
		writeJSON(writer, http.StatusGone, logservice.Page{Earliest: page.Earliest, Next: page.Next})
	default:
		writeJSON(writer, http.StatusOK, page)
	}
}

// serveInstances serves the list, of one role if the query names one, and says
// only that it has not changed to one who has it.
func (platform *Platform) serveInstances(writer http.ResponseWriter, request *http.Request) {
	listed := platform.Instances()
	if role := instances.Role(request.URL.Query().Get("role")); role != instances.AllRoles {
		listed = slices.DeleteFunc(listed, func(each instances.Instance) bool { return each.Role != role })
	}
	tag := newEntityTag(listed)
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(writer, http.StatusOK, listed)
}

func newEntityTag(listed []instances.Instance) string {
	hash := xxhash.New()
	for _, each := range listed {
		_, _ = fmt.Fprintf(hash, "%+v\n", each)
	}
	return fmt.Sprintf("%q", strconv.FormatUint(hash.Sum64(), 16))
}

func (platform *Platform) serveInstanceState(writer http.ResponseWriter, request *http.Request) {
	if !platform.setInstanceState(request.PathValue("name"), request.PathValue("state")) {
		http.Error(writer, "no instance of that name, or not one of live, leaving, gone", http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

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

// Handler serves the platform's interface to one worker.
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
	mux.HandleFunc("POST /tasks/{task}/stop", fake.newAttemptHandler(func(each *taskState, _ attemptRequest) { requestStop(each) }))
	mux.HandleFunc("POST /tasks/{task}/throttle", fake.newAttemptHandler(func(each *taskState, asked attemptRequest) {
		each.throttle = asked.Share
	}))
	mux.HandleFunc("DELETE /tasks/{task}", fake.newAttemptHandler(func(each *taskState, _ attemptRequest) { fake.removeEnded(each) }))
	mux.HandleFunc("POST /leases", fake.serveRenew)
	mux.HandleFunc("GET /tasks/{task}/stream", fake.serveStream)
	return mux
}

type attemptRequest struct {
	Attempt uint64  `json:"attempt"`
	Share   float64 `json:"share"`
}

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

func (fake *Worker) newAttemptHandler(change func(each *taskState, asked attemptRequest)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var asked attemptRequest
		if !decodeBody(writer, request, &asked) {
			return
		}
		current := fake.updateAttempt(request.PathValue("task"), asked.Attempt, func(each *taskState) { change(each, asked) })
		if !current {
			http.Error(writer, "no such attempt", http.StatusConflict)
			return
		}
		writer.WriteHeader(http.StatusAccepted)
	}
}

func (fake *Worker) serveRenew(writer http.ResponseWriter, request *http.Request) {
	var renewals []worker.Renewal
	if !decodeBody(writer, request, &renewals) {
		return
	}
	fake.renewLeases(renewals)
	writer.WriteHeader(http.StatusAccepted)
}

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
		outputs, over, grown := fake.outputs(request.PathValue("task"), after)
		for _, output := range outputs {
			if err := encoder.Encode(output); err != nil {
				return
			}
			after = output.Sequence
		}
		if over {
			_ = encoder.Encode(worker.Output{Sequence: after, Last: true})
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		select {
		case <-grown:
		case <-request.Context().Done():
			return
		}
	}
}

func decodeBody(writer http.ResponseWriter, request *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes)).Decode(into); err != nil {
		http.Error(writer, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
