package session_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"ambertiller.example/ambertiller/api"
	"ambertiller.example/ambertiller/standin"
)

// newSessionWithBackend returns a session all of whose backend servers are the handler.
func newSessionWithBackend(t *testing.T, handler http.HandlerFunc) *harness {
	t.Helper()
	made := newHarness(t)
	made.backendOverride = handler
	made.startAll()
	return made
}

// abortResponse ends a response before it is whole.
func abortResponse(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}

const largeBodyBytes = 1 << 20

// TestBackendResponses: an answer reaches the caller whole and to the caller's own
// request, or not as an answer at all.
func TestBackendResponses(t *testing.T) {
	tests := map[string]struct {
		backend http.HandlerFunc
		status  int
		outcome api.Outcome
		body    string
		broken  bool
	}{
		"whole": {
			func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "whole") },
			http.StatusOK, "", "whole", false,
		},
		"whole, of unknown length": {
			func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, "whole")
				_ = http.NewResponseController(writer).Flush()
				_, _ = io.WriteString(writer, " too")
			},
			http.StatusOK, "", "whole too", false,
		},
		"empty": {
			func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) },
			http.StatusNoContent, "", "", false,
		},
		"a failure of the backend server's own": {
			func(writer http.ResponseWriter, _ *http.Request) {
				http.Error(writer, "broken", http.StatusInternalServerError)
			},
			http.StatusInternalServerError, "", "broken\n", false,
		},
		"large": {
			func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write(bytes.Repeat([]byte("x"), largeBodyBytes))
			},
			http.StatusOK, "", strings.Repeat("x", largeBodyBytes), false,
		},
		"half of a small one": {
			func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(writer, "half")
				abortResponse(writer)
			},
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
		"half of a small one of unknown length": {
			func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, "half")
				abortResponse(writer)
			},
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
		"half of a large one": {
			func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Length", strconv.Itoa(largeBodyBytes))
				_, _ = writer.Write(bytes.Repeat([]byte("x"), largeBodyBytes/2))
				abortResponse(writer)
			},
			http.StatusOK, "", "", true,
		},
		"nothing": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
		"to another request": {
			func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(standin.HeaderRequestID, "somebody else's")
				_, _ = io.WriteString(writer, "secret")
			},
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newSessionWithBackend(t, test.backend)
			request := httptest.NewRequestWithContext(made.ctx, http.MethodPost, "/v1/services/verbale/snippets", strings.NewReader("x"))
			answer := httptest.NewRecorder()
			broken := serveHTTP(made.entries["entry-1"].handler, answer, request)
			if broken != test.broken || answer.Code != test.status {
				t.Fatalf("broken off: %t, status %d", broken, answer.Code)
			}
			checkAnswer(t, answer.Body.Bytes(), test.outcome, test.body, broken)
		})
	}
}

func checkAnswer(t *testing.T, body []byte, outcome api.Outcome, want string, broken bool) {
	t.Helper()
	switch {
	case broken:
	case outcome != "":
		var problem api.Problem
		if err := json.Unmarshal(body, &problem); err != nil || problem.Outcome != outcome {
			t.Errorf("outcome %q, %v", problem.Outcome, err)
		}
	case string(body) != want:
		t.Errorf("the answer has %d bytes and not %d", len(body), len(want))
	}
}

// echoBody sends the body back, once it has all of it: net/http drops the rest of
// a body when its answer has begun.
func echoBody(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(body)
}

// truncatedReader gives a few bytes and then fails, as a caller who goes away.
type truncatedReader struct{ remaining int }

// Read implements io.Reader.
func (reader *truncatedReader) Read(into []byte) (int, error) {
	if reader.remaining == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	count := min(len(into), reader.remaining)
	reader.remaining -= count
	return count, nil
}

// TestRequestBodies: bodies of every size arrive as they were sent; what is too
// large or breaks off is refused before it runs, if it can be.
func TestRequestBodies(t *testing.T) {
	tests := map[string]struct {
		body    io.Reader
		length  int64
		status  int
		outcome api.Outcome
		bytes   int
	}{
		"none":                        {http.NoBody, 0, http.StatusOK, "", 0},
		"small":                       {strings.NewReader("la seduta"), 9, http.StatusOK, "", 9},
		"small, of unknown length":    {strings.NewReader("la seduta"), -1, http.StatusOK, "", 9},
		"at the bound of what's kept": {strings.NewReader(strings.Repeat("x", 64<<10)), 64 << 10, http.StatusOK, "", 64 << 10},
		"streamed":                    {strings.NewReader(strings.Repeat("x", 500_000)), 500_000, http.StatusOK, "", 500_000},
		"streamed, of unknown length": {strings.NewReader(strings.Repeat("x", 500_000)), -1, http.StatusOK, "", 500_000},
		"too large":                   {strings.NewReader(strings.Repeat("x", 2<<20)), 2 << 20, http.StatusRequestEntityTooLarge, api.OutcomeNotRun, 0},
		"broken off while small":      {&truncatedReader{remaining: 10}, 100, http.StatusBadRequest, api.OutcomeNotRun, 0},
		"broken off while streamed":   {&truncatedReader{remaining: 300_000}, 500_000, http.StatusBadGateway, api.OutcomeUnknown, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			made := newSessionWithBackend(t, echoBody)
			request := httptest.NewRequestWithContext(made.ctx, http.MethodPost, "/v1/services/verbale/snippets", test.body)
			request.ContentLength = test.length
			answer := httptest.NewRecorder()
			serveHTTP(made.entries["entry-1"].handler, answer, request)
			if answer.Code != test.status {
				t.Fatalf("status %d: %.200s", answer.Code, answer.Body)
			}
			if test.outcome == "" && answer.Body.Len() != test.bytes {
				t.Errorf("%d bytes came back", answer.Body.Len())
			}
			checkAnswer(t, answer.Body.Bytes(), test.outcome, answer.Body.String(), false)
		})
	}
}

// TestRepeatableRequestRetried: a repeatable request whose backend server
// breaks off is answered by another one; one that is not repeatable isn't sent
// a second time.
func TestRepeatableRequestRetried(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) {
			made := newSession(t)
			made.kill("worker-01")
			made.backends["worker-01"] = abortingBackend
			made.startGuard("worker-01", "milano-a")
			made.report("worker-01", "worker-02")
			answer := made.doRequest("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x",
				api.HeaderRepeatable, fmt.Sprint(repeatable), api.HeaderIdempotencyKey, "bill-7")
			if whole := answer.Code == http.StatusOK; whole != repeatable {
				t.Errorf("status %d: %s", answer.Code, answer.Body)
			}
		})
	}
}
