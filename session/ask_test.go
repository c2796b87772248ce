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

// doRecorded sends one HTTP request to an entry and notes both ways.
func (made *harness) doRecorded(name, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	made.t.Helper()
	request := httptest.NewRequestWithContext(made.ctx, method, path, strings.NewReader(body))
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	made.transcript.add("caller", strings.TrimSpace(fmt.Sprintf("%s %s %s %q", method, path, strings.Join(headers, " "), body)))
	recorder := httptest.NewRecorder()
	if broken := serveHTTP(made.entries[name].handler, recorder, request); broken {
		made.transcript.add(name, "breaks the connection off")
		return recorder
	}
	made.transcript.add(name, fmt.Sprintf("answers %d %s", recorder.Code, strings.TrimSpace(recorder.Body.String())))
	return recorder
}

func serveHTTP(handler http.Handler, recorder *httptest.ResponseRecorder, request *http.Request) (broken bool) {
	defer func() {
		if failure := recover(); failure != nil {
			if failure != http.ErrAbortHandler {
				panic(failure)
			}
			broken = true
		}
	}()
	handler.ServeHTTP(recorder, request)
	return false
}

func (made *harness) publishExampleConfig(entryName string) {
	made.t.Helper()
	content, err := examples.Files.ReadFile("verbalia/config.yaml")
	if err != nil {
		made.t.Fatal(err)
	}
	rec := made.doRequest(entryName, http.MethodPut, "/v1/documents/config", fmt.Sprintf(`{"content":%q,"author":"anna"}`, content))
	if rec.Code != http.StatusOK {
		made.t.Fatalf("publish: %d %s", rec.Code, rec.Body)
	}
	made.catchUp()
}

func (made *harness) doRequest(name, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(made.ctx, method, path, strings.NewReader(body))
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	recorder := httptest.NewRecorder()
	serveHTTP(made.entries[name].handler, recorder, request)
	return recorder
}

// task returns a task as an entry's state has it.
func (made *harness) task(name, id string) api.Task {
	made.t.Helper()
	var shown api.Task
	made.entries[name].journal.View(func(folded *state.State) {
		if task := folded.Task(id); task != nil {
			shown = api.Task{ID: id, Phase: task.Phase().String(), Worker: task.Worker(), Attempt: task.Attempt(), Reason: task.Reason(), Evictions: task.Evictions()}
		}
	})
	return shown
}
