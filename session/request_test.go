package session_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/examples"
	"ambertiller.example/ambertiller/state"
)

// doRecorded sends one HTTP request to an entry and adds the request and the response to the transcript.
func (h *harness) doRecorded(name, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	h.t.Helper()
	request := httptest.NewRequestWithContext(h.ctx, method, path, strings.NewReader(body))
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	h.transcript.add("caller", strings.TrimSpace(fmt.Sprintf("%s %s %s %q", method, path, strings.Join(headers, " "), body)))
	recorder := httptest.NewRecorder()
	if aborted := serveHTTP(h.entries[name].handler, recorder, request); aborted {
		h.transcript.add(name, "breaks the connection off")
		return recorder
	}
	h.transcript.add(name, fmt.Sprintf("answers %d %s", recorder.Code, strings.TrimSpace(recorder.Body.String())))
	return recorder
}

// serveHTTP calls the handler and reports whether it aborted the connection with http.ErrAbortHandler.
func serveHTTP(handler http.Handler, recorder *httptest.ResponseRecorder, request *http.Request) (aborted bool) {
	defer func() {
		if recovered := recover(); recovered != nil {
			if recovered != http.ErrAbortHandler {
				panic(recovered)
			}
			aborted = true
		}
	}()
	handler.ServeHTTP(recorder, request)
	return false
}

// publishExampleConfig publishes the example configuration of Verbalia.
func (h *harness) publishExampleConfig(entryName string) {
	h.t.Helper()
	content, err := examples.Files.ReadFile("verbalia/config.yaml")
	if err != nil {
		h.t.Fatal(err)
	}
	rec := h.doRequest(entryName, http.MethodPut, "/v1/documents/config", fmt.Sprintf(`{"content":%q,"author":"anna"}`, content))
	if rec.Code != http.StatusOK {
		h.t.Fatalf("publish example configuration: status %d: %s", rec.Code, rec.Body)
	}
	h.catchUp()
}

// doRequest sends one HTTP request to an entry without adding it to the transcript.
func (h *harness) doRequest(name, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(h.ctx, method, path, strings.NewReader(body))
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	recorder := httptest.NewRecorder()
	serveHTTP(h.entries[name].handler, recorder, request)
	return recorder
}

// task returns a task as recorded in an entry's state, or a zero Task if the entry doesn't know it.
func (h *harness) task(name, id string) api.Task {
	h.t.Helper()
	var result api.Task
	h.entries[name].journal.View(func(st *state.State) {
		if task := st.Task(id); task != nil {
			result = api.Task{ID: id, Phase: task.Phase().String(), Worker: task.Worker(), Attempt: task.Attempt(), Reason: task.Reason(), Evictions: task.Evictions()}
		}
	})
	return result
}
