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

// newSessionWithBackend returns a session in which every backend server runs the given handler.
func newSessionWithBackend(t *testing.T, handler http.HandlerFunc) *harness {
	t.Helper()
	h := newHarness(t)
	h.backendOverride = handler
	h.startAll()
	return h
}

// abortResponse flushes what has been written and closes the connection before the response is complete.
func abortResponse(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}

const largeBodyBytes = 1 << 20

// TestBackendResponses checks that a caller receives either the complete response to its own request or a
// failure. A truncated response, and a response that carries another request's ID, must not look like a
// successful one.
func TestBackendResponses(t *testing.T) {
	tests := map[string]struct {
		backend http.HandlerFunc
		status  int
		outcome api.Outcome
		body    string
		aborted bool
	}{
		"complete": {
			func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "whole") },
			http.StatusOK, "", "whole", false,
		},
		"complete, unknown length": {
			func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, "whole")
				_ = http.NewResponseController(writer).Flush()
				_, _ = io.WriteString(writer, " too")
			},
			http.StatusOK, "", "whole too", false,
		},
		"no content": {
			func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) },
			http.StatusNoContent, "", "", false,
		},
		"error status from the backend server": {
			func(writer http.ResponseWriter, _ *http.Request) {
				http.Error(writer, "broken", http.StatusInternalServerError)
			},
			http.StatusInternalServerError, "", "broken\n", false,
		},
		"large body": {
			func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write(bytes.Repeat([]byte("x"), largeBodyBytes))
			},
			http.StatusOK, "", strings.Repeat("x", largeBodyBytes), false,
		},
		"truncated small body": {
			func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(writer, "half")
				abortResponse(writer)
			},
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
		"truncated small body, unknown length": {
			func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(writer, "half")
				abortResponse(writer)
			},
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
		"truncated large body": {
			func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Length", strconv.Itoa(largeBodyBytes))
				_, _ = writer.Write(bytes.Repeat([]byte("x"), largeBodyBytes/2))
				abortResponse(writer)
			},
			http.StatusOK, "", "", true,
		},
		"connection closed without a response": {
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
		"response to another request": {
			func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(standin.HeaderRequestID, "somebody else's")
				_, _ = io.WriteString(writer, "secret")
			},
			http.StatusBadGateway, api.OutcomeUnknown, "", false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSessionWithBackend(t, test.backend)
			request := httptest.NewRequestWithContext(h.ctx, http.MethodPost, "/v1/services/verbale/snippets", strings.NewReader("x"))
			response := httptest.NewRecorder()
			aborted := serveHTTP(h.entries["entry-1"].handler, response, request)
			if aborted != test.aborted || response.Code != test.status {
				t.Fatalf("connection aborted: %t, status %d", aborted, response.Code)
			}
			checkAnswer(t, response.Body.Bytes(), test.outcome, test.body, aborted)
		})
	}
}

func checkAnswer(t *testing.T, body []byte, outcome api.Outcome, want string, aborted bool) {
	t.Helper()
	switch {
	case aborted:
	case outcome != "":
		var problem api.Problem
		if err := json.Unmarshal(body, &problem); err != nil || problem.Outcome != outcome {
			t.Errorf("got outcome %q (decode error: %v)", problem.Outcome, err)
		}
	case string(body) != want:
		t.Errorf("got a body of %d bytes, want %d", len(body), len(want))
	}
}

// echoBody returns the request body as the response. It reads the whole body first, because net/http
// discards the unread rest of a request body once the response has begun.
func echoBody(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = writer.Write(body)
}

// truncatedReader returns a number of bytes and then fails, like a caller that disconnects in the middle of
// its request body.
type truncatedReader struct{ remaining int }

// Read implements io.Reader.
func (r *truncatedReader) Read(buffer []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(buffer), r.remaining)
	r.remaining -= n
	return n, nil
}

// TestRequestBodies checks that request bodies of every size arrive unchanged. A body that is too large, or
// that ends early while the entry still buffers it, is rejected with the outcome "not run". If a body ends
// early while it is streamed to the backend server, the outcome is unknown.
func TestRequestBodies(t *testing.T) {
	tests := map[string]struct {
		body    io.Reader
		length  int64
		status  int
		outcome api.Outcome
		bytes   int
	}{
		"empty":                    {http.NoBody, 0, http.StatusOK, "", 0},
		"small":                    {strings.NewReader("la seduta"), 9, http.StatusOK, "", 9},
		"small, unknown length":    {strings.NewReader("la seduta"), -1, http.StatusOK, "", 9},
		"at the buffer limit":      {strings.NewReader(strings.Repeat("x", 64<<10)), 64 << 10, http.StatusOK, "", 64 << 10},
		"streamed":                 {strings.NewReader(strings.Repeat("x", 500_000)), 500_000, http.StatusOK, "", 500_000},
		"streamed, unknown length": {strings.NewReader(strings.Repeat("x", 500_000)), -1, http.StatusOK, "", 500_000},
		"too large":                {strings.NewReader(strings.Repeat("x", 2<<20)), 2 << 20, http.StatusRequestEntityTooLarge, api.OutcomeNotRun, 0},
		"truncated while buffered": {&truncatedReader{remaining: 10}, 100, http.StatusBadRequest, api.OutcomeNotRun, 0},
		"truncated while streamed": {&truncatedReader{remaining: 300_000}, 500_000, http.StatusBadGateway, api.OutcomeUnknown, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newSessionWithBackend(t, echoBody)
			request := httptest.NewRequestWithContext(h.ctx, http.MethodPost, "/v1/services/verbale/snippets", test.body)
			request.ContentLength = test.length
			response := httptest.NewRecorder()
			serveHTTP(h.entries["entry-1"].handler, response, request)
			if response.Code != test.status {
				t.Fatalf("status %d: %.200s", response.Code, response.Body)
			}
			if test.outcome == "" && response.Body.Len() != test.bytes {
				t.Errorf("got a body of %d bytes", response.Body.Len())
			}
			checkAnswer(t, response.Body.Bytes(), test.outcome, response.Body.String(), false)
		})
	}
}

// TestRepeatableRequestRetried checks that a repeatable request is retried on another backend server when the
// first one closes the connection, and that a request that is not repeatable is sent only once.
func TestRepeatableRequestRetried(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run(fmt.Sprint("repeatable ", repeatable), func(t *testing.T) {
			h := newSession(t)
			h.kill("worker-01")
			h.backends["worker-01"] = abortingBackend
			h.startGuard("worker-01", "milano-a")
			h.report("worker-01", "worker-02")
			response := h.doRequest("entry-1", http.MethodPost, "/v1/services/verbale/bill", "x",
				api.HeaderRepeatable, fmt.Sprint(repeatable), api.HeaderIdempotencyKey, "bill-7")
			if whole := response.Code == http.StatusOK; whole != repeatable {
				t.Errorf("status %d: %s", response.Code, response.Body)
			}
		})
	}
}
